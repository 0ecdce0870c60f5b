//! How much longer than usual the frames of one peer take, so that old news isn't taken for fresh.

use std::time::Duration;

/// How much the usual time may rise from one frame to the next, in ms: the clocks of two machines drift, and
/// the peer's may have stood still.
const DRIFT_MS: i64 = 5;

/// Compares the times at which a peer sent its frames, by its own clock, with those at which they arrived.
#[derive(Debug, Default)]
pub struct TransitDelay {
    /// The least difference of the two clocks so far, in ms.
    least: Option<i64>,
}

impl TransitDelay {
    /// Takes into account a frame that was sent at `sent_ms` by the peer's clock and received at
    /// `received_ms` by the own one. Returns how much longer than usual it took.
    pub fn excess(&mut self, sent_ms: u64, received_ms: u64) -> Duration {
        let offset = signed(received_ms).saturating_sub(signed(sent_ms));
        let least = match self.least {
            Some(least) => offset.min(least.saturating_add(DRIFT_MS)),
            None => offset,
        };
        self.least = Some(least);
        let excess = offset.saturating_sub(least);
        Duration::from_millis(u64::try_from(excess).unwrap_or_default())
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
