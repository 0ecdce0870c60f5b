//! Checks whether instances heed what backend servers say in their responses: that they want nothing for a while, or
//! that they are leaving. From what the servers send and receive.

use std::time::Duration;

use tokio::time::Instant;

/// Time after a response in which requests that were under way may still arrive.
const GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach a resting server in the rest of its time.
pub const ALLOWED_IN_REST: usize = 2;
/// Time after which a server that says that it is leaving gets no more requests.
const LEAVING_TIME: Duration = Duration::from_secs(2);

/// What one instance and one start of a server have said to each other.
#[derive(Clone, Debug, Default)]
pub struct RefusalRecord {
    /// When the server asked for rest, and until when.
    rests: Vec<(Instant, Instant)>,
    /// When the server first said that it is leaving.
    left: Option<Instant>,
    /// When requests of the instance reached the server.
    arrivals: Vec<Instant>,
}

impl RefusalRecord {
    /// Records that a request reached the server.
    pub fn arrive(&mut self, at: Instant) {
        self.arrivals.push(at);
    }

    /// Records that the server asked for so long a rest.
    pub fn rest(&mut self, at: Instant, time: Duration) {
        self.rests.push((at, at + time));
    }

    /// Records that the server said that it is leaving.
    pub fn leave(&mut self, at: Instant) {
        self.left.get_or_insert(at);
    }

    /// The most requests that reached the server in any one rest.
    #[must_use]
    pub fn most_in_rest(&self) -> usize {
        let counts = self.rests.iter().map(|(from, until)| {
            let late = |at: &&Instant| **at > *from + GRACE && **at < *until;
            self.arrivals.iter().filter(late).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Requests that reached the server after it had left.
    #[must_use]
    pub fn after_leaving(&self) -> usize {
        let left = self.left.map(|at| at + LEAVING_TIME);
        let late = |at: &&Instant| left.is_some_and(|left| **at > left);
        self.arrivals.iter().filter(late).count()
    }
}
