//! The crashes that an instance remembers, and those that it has forgotten.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::crash::{Crash, is_same_time};

/// Time for which a crash is remembered.
const CRASH_RETENTION: Duration = Duration::from_mins(2);
/// Maximum number of crashes that are remembered; the oldest is forgotten for a new one.
const MAX_CRASHES: usize = 64;
/// Time for which a forgotten crash is recognised, so that a late notice of it isn't news.
const FORGOTTEN_RETENTION: Duration = Duration::from_mins(4);
/// Maximum number of forgotten crashes that are recognised.
const MAX_FORGOTTEN: usize = 4_096;

/// The crashes that are remembered, in the order in which the instance learned of them.
#[derive(Debug, Default)]
pub(super) struct CrashList {
    crashes: Vec<Crash>,
    /// The servers of forgotten crashes, and when they crashed.
    forgotten: HashMap<SmolStr, Instant>,
}

impl CrashList {
    pub(super) const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Crash> + Clone {
        self.crashes.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Crash> {
        self.crashes.iter_mut()
    }

    /// The crash of a server about the time `at`.
    pub(super) fn find_mut(&mut self, server: &str, at: Instant) -> Option<&mut Crash> {
        self.crashes.iter_mut().find(|c| c.is_same(server, at))
    }

    /// Adds a crash, unless it is too old or was forgotten. Forgets the oldest one if there are too many.
    pub(super) fn add(&mut self, crash: Crash, now: Instant) -> Option<&mut Crash> {
        let forgotten = self.forgotten.get(&crash.server);
        let is_forgotten = forgotten.is_some_and(|at| is_same_time(*at, crash.at));
        if is_forgotten || now.saturating_duration_since(crash.at) >= CRASH_RETENTION {
            return None;
        }
        if self.forgotten.len() >= MAX_FORGOTTEN {
            let server = &crash.server;
            log::warn!("server={server} crash=not_kept reason=\"too many servers crashed\"");
            return None;
        }
        if !self.make_room(&crash) {
            return None;
        }
        self.crashes.push(crash);
        self.crashes.last_mut()
    }

    /// Forgets old crashes; returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.forgotten.retain(|_, at| age(at) < FORGOTTEN_RETENTION);
        let is_old = |crash: &mut Crash| age(&crash.at) >= CRASH_RETENTION;
        let expired: Vec<Crash> = self.crashes.extract_if(.., is_old).collect();
        let found = !expired.is_empty();
        self.forgotten
            .extend(expired.into_iter().map(|c| (c.server, c.at)));
        found
    }

    /// Forgets the oldest crash if there is no room for `new`. Returns `false`, and forgets that one, if it is older.
    fn make_room(&mut self, new: &Crash) -> bool {
        let ages = self.crashes.iter().enumerate().map(|(i, c)| (c.at, i));
        match ages.min() {
            Some((at, _)) if self.crashes.len() >= MAX_CRASHES && new.at <= at => {
                self.forgotten.insert(new.server.clone(), new.at);
                false
            }
            Some((_, oldest)) if self.crashes.len() >= MAX_CRASHES => {
                let crash = self.crashes.remove(oldest);
                self.forgotten.insert(crash.server, crash.at);
                true
            }
            _ => true,
        }
    }
}
