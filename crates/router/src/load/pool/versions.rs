//! Requests that only servers of one software version may take.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::state::State;
use super::{AdmissionRequest, Permit, Pool, ServerId};
use crate::config::object::BackendServer;
use crate::error::{Fault, Kind};
use crate::load::placement::Choice;
use crate::load::prompt_placement::Prompt;
use crate::load::server::Server;

/// Time between two checks for a server that takes the request.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for such a server.
const WAIT_MAX: Duration = Duration::from_secs(2);
/// Retry delay advised when there is none.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The versions that the servers have, and for how long.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum SeenVersions {
    /// No server was declared yet.
    #[default]
    Unseen,
    /// All servers have had one version.
    Single(SingleVersion),
    /// Servers have several versions or none.
    Mixed,
}

/// The version of all servers.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SingleVersion {
    version: SmolStr,
    /// Since when this instance has seen it.
    seen: Instant,
    /// For how long all servers are known to have had it before.
    before: Duration,
    /// Whether this instance has seen no other since it started, and can't have missed one.
    first: bool,
}

impl SingleVersion {
    /// For how long all servers are known to have had it.
    fn age(&self) -> Duration {
        self.before.saturating_add(self.seen.elapsed())
    }

    /// Whether it is `version`, and this instance has seen no other.
    fn is_first(&self, version: &str) -> bool {
        self.first && self.version == version
    }
}

impl SeenVersions {
    /// The version of all servers, if they have one.
    fn version(&self) -> Option<&SmolStr> {
        match self {
            Self::Single(single) => Some(&single.version),
            Self::Unseen | Self::Mixed => None,
        }
    }

    /// What follows if the servers are now `declared`.
    fn next(&self, declared: &[&BackendServer], now: Instant) -> Self {
        let Some((first, others)) = declared.split_first() else {
            return self.clone();
        };
        let same = others.iter().all(|s| s.version == first.version);
        let version = first.version.clone().filter(|_| same);
        match (self, version) {
            (Self::Single(single), Some(version)) if single.version == version => self.clone(),
            (before, Some(version)) => Self::Single(SingleVersion {
                version,
                seen: now,
                before: Duration::ZERO,
                first: *before == Self::Unseen,
            }),
            (_, None) => Self::Mixed,
        }
    }
}

/// The versions of one pool's servers since the instance started.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    seen: SeenVersions,
    /// Number of changes.
    changes: u64,
}

/// What all servers of a pool have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonVersion {
    /// Their version; `None` if there are several versions or servers without one.
    pub version: Option<SmolStr>,
    /// Number of changes since the instance started, those that were undone at once included.
    pub changes: u64,
}

impl VersionHistory {
    /// Takes into account that the servers are, or were for a while, those `declared`.
    pub(super) fn update(&mut self, declared: &[&BackendServer], now: Instant) {
        let next = self.seen.next(declared, now);
        let changed = self.seen != SeenVersions::Unseen && self.seen.version() != next.version();
        self.changes += u64::from(changed);
        self.seen = next;
    }

    /// Takes into account that servers of other versions may have been there until now.
    fn restart(&mut self, now: Instant) {
        if let SeenVersions::Single(single) = &mut self.seen {
            single.seen = now;
            single.before = Duration::ZERO;
            single.first = false;
        }
    }
}

impl Pool {
    /// The version that all servers have had for `time` or longer, those that were removed meanwhile included.
    #[must_use]
    pub fn only_version(&self, time: Duration) -> Option<SmolStr> {
        match &self.lock().versions.seen {
            SeenVersions::Single(single) if single.age() >= time => Some(single.version.clone()),
            SeenVersions::Unseen | SeenVersions::Single(_) | SeenVersions::Mixed => None,
        }
    }

    /// For how long all servers have had one version; `None` while there are several.
    #[must_use]
    pub fn only_version_age(&self) -> Option<Duration> {
        match &self.lock().versions.seen {
            SeenVersions::Single(single) => Some(single.age()),
            SeenVersions::Unseen | SeenVersions::Mixed => None,
        }
    }

    /// What all servers have in common; `None` as long as none was seen.
    #[must_use]
    pub fn common_version(&self) -> Option<CommonVersion> {
        let state = self.lock();
        let VersionHistory { seen, changes } = &state.versions;
        (*seen != SeenVersions::Unseen).then(|| CommonVersion {
            version: seen.version().cloned(),
            changes: *changes,
        })
    }

    /// Takes into account that `server` was there for a while and is gone, or has changed since. Streams may have begun at
    /// it through other instances.
    pub fn record_past_server(&self, server: &BackendServer) {
        let now = Instant::now();
        self.lock().versions.update(&[server], now);
    }

    /// Takes into account that servers may have come and gone unnoticed until now.
    pub fn restart_versions(&self) {
        let now = Instant::now();
        self.lock().versions.restart(now);
    }

    /// Whether this instance has seen no other version than this one, and can't have missed one.
    #[must_use]
    pub fn has_seen_only(&self, version: &str) -> bool {
        match &self.lock().versions.seen {
            SeenVersions::Single(single) => single.is_first(version),
            SeenVersions::Unseen | SeenVersions::Mixed => false,
        }
    }

    /// Takes into account that all servers have had this version for `time`, which may reach back before the instance
    /// first saw any. Returns `false` if it has seen another one, or may have missed one.
    pub fn trust_version(&self, version: &str, time: Duration) -> bool {
        match &mut self.lock().versions.seen {
            SeenVersions::Single(single) if single.is_first(version) => {
                single.before = time.saturating_sub(single.seen.elapsed());
                true
            }
            _ => false,
        }
    }

    /// Waits for a permit for a server of the version that `admission` names.
    pub(super) async fn acquire_for_version(
        self: &Arc<Self>,
        admission: &AdmissionRequest,
        prompt: Prompt,
    ) -> Result<Permit, Fault> {
        let deadline = Instant::now() + WAIT_MAX;
        loop {
            self.wait_for_suspect(admission).await?;
            if let Some(permit) = self.try_acquire_for_version(admission, prompt)? {
                return Ok(permit);
            }
            if Instant::now() >= deadline {
                let message = "the servers of the version that began the stream are at capacity";
                return Err(Fault::new(Kind::Overloaded, message).retry_after(RETRY_AFTER));
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn try_acquire_for_version(
        self: &Arc<Self>,
        admission: &AdmissionRequest,
        prompt: Prompt,
    ) -> Result<Option<Permit>, Fault> {
        let now = Instant::now();
        let mut state = self.lock();
        if !state.serves_version(admission.version.as_deref(), None) {
            let message = "no backend server has the version that began the stream";
            return Err(Fault::new(Kind::NoBackendServer, message).retry_after(RETRY_AFTER));
        }
        let level = admission.attributes.level;
        let choice = state.choose(admission, prompt, level, false, self.limits.unstarted, now);
        let Choice::Server(server) = choice else {
            return Ok(None);
        };
        Ok(Some(self.issue_permit(
            &mut state, server, admission, prompt, false, now,
        )))
    }

    /// Whether a server of this version other than `except` takes requests of this instance.
    #[must_use]
    pub fn serves_version(&self, version: &str, except: Option<ServerId>) -> bool {
        let state = self.lock();
        state.serves_version(Some(version), except)
    }
}

impl State {
    fn serves_version(&self, version: Option<&str>, except: Option<ServerId>) -> bool {
        let fits = |s: &Server| {
            s.declared.version.as_deref() == version && !s.leaving() && !s.is_held_by_others()
        };
        let mut servers = self.servers.iter();
        servers.any(|(id, server)| fits(server) && Some(id) != except)
    }
}
