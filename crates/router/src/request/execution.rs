//! Whether a request may have reached a backend server, over all its attempts.

/// What is known of the attempts so far.
///
/// A server's word that it didn't run a request speaks of one attempt only: an earlier one, preempted
/// there or resumed from another instance, may have run all the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutionTracker {
    earlier: bool,
    current: bool,
}

impl ExecutionTracker {
    /// The reach of a request that ran in part before this process met it.
    #[must_use]
    pub const fn resumed() -> Self {
        Self {
            earlier: true,
            current: false,
        }
    }

    /// Begins another attempt.
    pub const fn begin_attempt(&mut self) {
        self.earlier |= self.current;
        self.current = false;
    }

    /// Notes that the attempt under way may have reached its server.
    pub const fn mark_sent(&mut self) {
        self.current = true;
    }

    /// Notes that the server of the attempt under way says that it didn't run the request.
    pub const fn mark_not_run(&mut self) {
        self.current = false;
    }

    /// Whether any attempt may have reached a server that hasn't denied running it.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        self.earlier || self.current
    }
}
