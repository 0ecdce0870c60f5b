//! A duty as seen by the code that performs it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::Notify;

use super::clock::Clocks;
use super::lease::Lease;
use super::{Duty, Permission, Token};

/// One duty of this instance, whether it holds it or not.
pub struct HeldDuty {
    /// The duty.
    pub duty: Duty,
    /// The clocks that it is judged by.
    pub clocks: Clocks,
    /// Notified when the ledger has changed, or the duty was taken or lost.
    pub changed: Arc<Notify>,
    own: SmolStr,
    lease: Mutex<Lease>,
}

impl HeldDuty {
    /// The duty of an instance that doesn't hold it yet; `start` identifies this start of its process.
    #[must_use]
    pub fn new(duty: Duty, own: SmolStr, start: u64, length: Duration, clocks: Clocks) -> Self {
        let lease = Lease::new(own.clone(), start, length, (clocks.boot)());
        Self {
            duty,
            clocks,
            changed: Arc::default(),
            own,
            lease: Mutex::new(lease),
        }
    }

    /// The state of the lease.
    pub fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The token if the duty is held now.
    #[must_use]
    pub fn token(&self) -> Option<Token> {
        self.check(Duration::ZERO).map(|(_, token)| token)
    }
}

impl Permission for HeldDuty {
    fn check(&self, time: Duration) -> Option<(SmolStr, Token)> {
        let lease = self.lease();
        let (token, left) = lease.held((self.clocks.boot)())?;
        (left > time).then(|| (self.own.clone(), token))
    }
}
