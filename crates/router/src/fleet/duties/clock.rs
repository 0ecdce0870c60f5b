//! Time for leases: monotonic, and counting the time in which the machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::config::changelog;

/// Time since the machine was started, including time in which it was suspended.
pub type BootTime = Duration;

/// The clocks that duties use.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// The time since the machine was started.
    pub boot: fn() -> BootTime,
    /// The time of day, in ms since the Unix epoch; it may jump.
    pub wall_ms: fn() -> u64,
}

impl Default for Clocks {
    fn default() -> Self {
        Self {
            boot: boot_time,
            wall_ms: changelog::now_ms,
        }
    }
}

fn boot_time() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
