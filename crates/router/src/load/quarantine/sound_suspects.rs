//! Suspects that were found sound lately.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::SuspectId;

/// Time for which a suspect that was found sound counts as sound, at least.
const SOUND_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of sound suspects that are remembered for each [`SOUND_RETENTION`].
const MAX_SOUND: usize = 8_192;

/// Suspects that were found sound, in two generations.
#[derive(Debug)]
pub(super) struct SoundSuspects {
    recent: HashSet<SuspectId>,
    older: HashSet<SuspectId>,
    rotated: Instant,
}

impl SoundSuspects {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            recent: HashSet::new(),
            older: HashSet::new(),
            rotated: now,
        }
    }

    pub(super) fn contains(&self, id: SuspectId) -> bool {
        self.recent.contains(&id) || self.older.contains(&id)
    }

    /// Inserts a suspect; returns whether it wasn't known to be sound.
    pub(super) fn insert(&mut self, id: SuspectId, now: Instant) -> bool {
        if now.saturating_duration_since(self.rotated) >= SOUND_RETENTION {
            self.older = std::mem::take(&mut self.recent);
            self.rotated = now;
        }
        let new = !self.contains(id);
        if self.recent.len() < MAX_SOUND {
            self.recent.insert(id);
        }
        new
    }
}
