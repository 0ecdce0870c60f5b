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

/// The version that all servers of a pool have, and since when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OnlyVersion {
    version: SmolStr,
    since: Instant,
}

impl OnlyVersion {
    /// Returns what holds after the servers were `declared`, if it was `before` until now.
    pub(super) fn update(
        before: Option<Self>,
        declared: &[&BackendServer],
        now: Instant,
    ) -> Option<Self> {
        let (first, others) = declared.split_first()?;
        let version = first.version.clone()?;
        let same = others.iter().all(|s| s.version.as_ref() == Some(&version));
        let kept = before.filter(|before| before.version == version);
        same.then(|| {
            kept.unwrap_or(Self {
                version,
                since: now,
            })
        })
    }
}

impl Pool {
    /// The version that all servers have had for `time` or longer, those that were removed meanwhile included.
    #[must_use]
    pub fn only_version(&self, time: Duration) -> Option<SmolStr> {
        let state = self.lock();
        let only = state.only_version.as_ref();
        let only = only.filter(|only| only.since.elapsed() >= time);
        only.map(|only| only.version.clone())
    }

    /// Waits for a permit for a server of the version that `admission` names.
    pub(super) async fn acquire_for_version(
        self: &Arc<Self>,
        admission: &AdmissionRequest,
        prompt: Prompt,
    ) -> Result<Permit, Fault> {
        let deadline = Instant::now() + WAIT_MAX;
        loop {
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
        if !state.serves_version(admission.version.as_deref(), None, now) {
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

    /// Whether a server of this version other than `except` takes requests.
    #[must_use]
    pub fn serves_version(&self, version: &str, except: Option<ServerId>) -> bool {
        let state = self.lock();
        state.serves_version(Some(version), except, Instant::now())
    }
}

impl State {
    fn serves_version(
        &self,
        version: Option<&str>,
        except: Option<ServerId>,
        now: Instant,
    ) -> bool {
        let fits = |s: &Server| s.declared.version.as_deref() == version && !s.leaving(now);
        let mut servers = self.servers.iter();
        servers.any(|(id, server)| fits(server) && Some(id) != except)
    }
}
