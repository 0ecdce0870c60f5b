//! Tracks whether a request may have run, over all its attempts.

/// Whether the attempts of a request so far may have run at a backend server.
///
/// A server that reports that it did not run a request speaks of one attempt only: an earlier attempt,
/// which was preempted there or was made by another instance, may have run nevertheless.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutionTracker {
    earlier: bool,
    current: bool,
}

impl ExecutionTracker {
    /// The state of a request whose stream is resumed: it ran in part before this process received it.
    #[must_use]
    pub const fn resumed() -> Self {
        Self {
            earlier: true,
            current: false,
        }
    }

    /// Starts the next attempt, which counts as not sent until `mark_sent`.
    pub const fn begin_attempt(&mut self) {
        self.earlier |= self.current;
        self.current = false;
    }

    /// Records that the current attempt may have reached its backend server.
    pub const fn mark_sent(&mut self) {
        self.current = true;
    }

    /// Records that the backend server of the current attempt reported that it did not run the request.
    pub const fn mark_not_run(&mut self) {
        self.current = false;
    }

    /// Whether any attempt may have reached a backend server that did not report it as not run.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        self.earlier || self.current
    }
}
