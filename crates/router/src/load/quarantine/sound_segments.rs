//! Segments that were found sound lately.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::SegmentId;

/// Time for which a segment that was found sound counts as sound, at least.
const SOUND_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of sound segments that are remembered for each [`SOUND_RETENTION`].
const MAX_SOUND: usize = 8_192;

/// Segments that were found sound, in two generations.
#[derive(Debug)]
pub(super) struct SoundSegments {
    recent: HashSet<SegmentId>,
    older: HashSet<SegmentId>,
    rotated: Instant,
}

impl SoundSegments {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            recent: HashSet::new(),
            older: HashSet::new(),
            rotated: now,
        }
    }

    pub(super) fn contains(&self, segment: SegmentId) -> bool {
        self.recent.contains(&segment) || self.older.contains(&segment)
    }

    /// Inserts a segment; returns whether it wasn't known to be sound.
    pub(super) fn insert(&mut self, segment: SegmentId, now: Instant) -> bool {
        if now.saturating_duration_since(self.rotated) >= SOUND_RETENTION {
            self.older = std::mem::take(&mut self.recent);
            self.rotated = now;
        }
        let new = !self.contains(segment);
        if self.recent.len() < MAX_SOUND {
            self.recent.insert(segment);
        }
        new
    }
}
