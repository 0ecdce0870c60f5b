//! Confirms that the list of backend servers is the platform's present one, for decisions that a list which is some
//! seconds old would get wrong.

use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{self, Instant};

/// Time limit of a confirmation.
const TIMEOUT: Duration = Duration::from_millis(800);

/// The confirmations of one instance's list of servers.
#[derive(Debug)]
pub struct ListConfirmation {
    requested: Notify,
    confirmed: watch::Sender<Option<Instant>>,
}

impl Default for ListConfirmation {
    fn default() -> Self {
        Self {
            requested: Notify::new(),
            confirmed: watch::Sender::new(None),
        }
    }
}

impl ListConfirmation {
    /// Waits until the list is one that the platform had after this call. Returns `false` if that takes too long.
    pub async fn confirm(&self) -> bool {
        let asked = Instant::now();
        let mut confirmed = self.confirmed.subscribe();
        self.requested.notify_one();
        let fresh = confirmed.wait_for(|at| *at >= Some(asked));
        matches!(time::timeout(TIMEOUT, fresh).await, Ok(Ok(_)))
    }

    /// Completes when a confirmation is wanted.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Records that the list in effect is the one that the platform had at the time `at`.
    pub fn record(&self, at: Instant) {
        self.confirmed.send_if_modified(|confirmed| {
            let newer = *confirmed < Some(at);
            if newer {
                *confirmed = Some(at);
            }
            newer
        });
    }
}
