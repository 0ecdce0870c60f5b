//! The memory that the connections of one door hold, and the choice of the connection that gives way when it is
//! used up.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::SlotMap;
use tokio::sync::Notify;
use tokio::task;
use tokio::time::Instant;

/// Bytes up to which a connection may use the whole limit. What one connection holds beyond that may fill only
/// [`LARGE_FRACTION`] of it, so that large bodies leave room for other requests.
const SMALL_BYTES: usize = 16 << 10;
/// Numerator and denominator of the fraction of the limit that large holdings may fill.
const LARGE_FRACTION: (usize, usize) = (3, 4);
/// Bytes of later requests from which a connection whose request is being handled may have to give way.
const AHEAD_BYTES_MIN: usize = 4 << 10;
/// Time without progress from which a caller may lose the rest of its response for the sake of other requests.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Numerator and denominator of the fraction of the limit that responses may fill before callers lose the rest of
/// theirs at once.
const RESPONSE_FRACTION: (usize, usize) = (5, 4);
/// Bytes that count as progress, so that a trickle doesn't.
const PROGRESS_BYTES: usize = 4 << 10;

slotmap::new_key_type! {
    struct AccountKey;
}

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// For the first byte of a request.
    Idle,
    /// For the rest of a request.
    Receiving,
    /// For the response to a complete request.
    Handling,
    /// For its caller to read the response.
    Sending,
}

/// The connection has to give way, as the memory is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

/// What a connection has to give way to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// The requests of others, which need its memory.
    Memory,
    /// A new connection, so that it's closed at once.
    Connection,
}

/// What one connection holds.
#[derive(Debug)]
struct Account {
    stage: Stage,
    held: usize,
    /// Bytes of `held` that belong to requests after the one that is being handled.
    ahead: usize,
    /// Bytes moved since the last progress.
    moved: usize,
    /// When the connection last made progress or changed its stage.
    since: Instant,
    /// Whether a request on it was answered.
    served: bool,
    evicted: Option<Eviction>,
    notify: Arc<Notify>,
}

impl Account {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Bytes for which the connection may be closed. No request that is being handled is ended for the sake of its
    /// own size, and no response before its caller hasn't read for the time `stall`.
    fn evictable(&self, now: Instant, stall: Duration) -> usize {
        match self.stage {
            _ if self.evicted.is_some() => 0,
            Stage::Handling if self.ahead < AHEAD_BYTES_MIN => 0,
            Stage::Handling => self.ahead,
            Stage::Sending if self.age(now) < stall => 0,
            Stage::Idle | Stage::Receiving | Stage::Sending => self.held,
        }
    }

    /// How much the connection holds for how long without progress.
    fn burden(&self, now: Instant, stall: Duration) -> u128 {
        self.evictable(now, stall) as u128 * (self.age(now).as_micros() + 1)
    }
}

/// The accounts of all connections.
#[derive(Debug, Default)]
struct Accounts {
    all: SlotMap<AccountKey, Account>,
    held: usize,
    /// Bytes of `held` that evicted connections are about to release.
    leaving: usize,
    evictions: u64,
}

impl Accounts {
    fn open(&mut self, now: Instant) -> (AccountKey, Arc<Notify>) {
        let notify = Arc::new(Notify::new());
        let key = self.all.insert(Account {
            stage: Stage::Idle,
            held: 0,
            ahead: 0,
            moved: 0,
            since: now,
            served: false,
            evicted: None,
            notify: Arc::clone(&notify),
        });
        (key, notify)
    }

    fn close(&mut self, key: AccountKey) {
        self.enter(key, Stage::Idle, Instant::now());
        self.set(key, 0);
        self.all.remove(key);
    }

    /// Changes the stage. An eviction that has not been obeyed is void, as it was meant for the last one.
    fn enter(&mut self, key: AccountKey, stage: Stage, now: Instant) {
        let Some(account) = self.all.get_mut(key) else {
            return;
        };
        if account.evicted.take().is_some() {
            self.leaving -= account.held;
        }
        account.served |= account.stage == Stage::Handling;
        account.stage = stage;
        account.ahead = 0;
        account.moved = 0;
        account.since = now;
    }

    fn set(&mut self, key: AccountKey, bytes: usize) {
        let Some(account) = self.all.get_mut(key) else {
            return;
        };
        if account.evicted.is_some() {
            self.leaving = self.leaving - account.held + bytes;
        }
        self.held = self.held - account.held + bytes;
        account.held = bytes;
    }

    /// Lets connections give way until no more than `limit` bytes are held, or fails if `key` is the one that has to.
    fn fit(&mut self, key: AccountKey, limit: usize, stall: Duration) -> Result<(), Full> {
        let now = Instant::now();
        while self.held - self.leaving > limit {
            let worst = self.worst(|a| a.burden(now, stall));
            let worst = worst.filter(|worst| *worst != key);
            let Some(worst) = worst else {
                return Err(Full);
            };
            self.evict(worst, Eviction::Memory);
        }
        Ok(())
    }

    fn evict(&mut self, key: AccountKey, reason: Eviction) {
        let Some(account) = self.all.get_mut(key) else {
            return;
        };
        account.evicted = Some(reason);
        account.notify.notify_one();
        self.leaving += account.held;
        self.evictions += 1;
    }

    /// The connection with the largest weight above 0.
    fn worst(&self, weight: impl Fn(&Account) -> u128) -> Option<AccountKey> {
        let weights = self.all.iter().map(|(key, account)| (weight(account), key));
        let worst = weights.filter(|(weight, _)| *weight > 0).max();
        worst.map(|(_, key)| key)
    }

    /// The connection that is closed for a new one: it has waited longest for its caller, and if possible no request
    /// on it was ever answered.
    fn most_dispensable(&self, now: Instant) -> Option<AccountKey> {
        let weight = |a: &Account, served| match a.stage {
            _ if a.evicted.is_some() || a.served != served => 0,
            Stage::Handling => 0,
            Stage::Sending if a.age(now) < STALL_TIME => 0,
            Stage::Idle | Stage::Receiving | Stage::Sending => a.age(now).as_micros() + 1,
        };
        let never_served = self.worst(|a| weight(a, false));
        never_served.or_else(|| self.worst(|a| weight(a, true)))
    }
}

/// The memory of one door's connections, with a limit.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    accounts: Mutex<Accounts>,
}

impl Memory {
    /// Memory of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            accounts: Mutex::default(),
        }
    }

    /// Bytes held by all connections.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// Number of connections that had to give way so far.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.lock().evictions
    }

    /// Lets one connection give way to a new one, unless all are waiting for responses of this process.
    pub fn evict_one(&self) {
        let mut accounts = self.lock();
        if let Some(key) = accounts.most_dispensable(Instant::now()) {
            accounts.evict(key, Eviction::Connection);
        }
    }

    /// Opens the account of a new connection.
    pub(super) fn open(&self) -> Holding<'_> {
        let (key, notify) = self.lock().open(Instant::now());
        Holding {
            memory: self,
            key,
            notify,
        }
    }

    /// Whether more than the limit is held until those that give way have released it.
    fn is_clearing(&self) -> bool {
        let accounts = self.lock();
        accounts.leaving > 0 && accounts.held > self.limit
    }

    fn lock(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes of all connections up to which one may hold `bytes`.
    const fn limit_for(&self, bytes: usize) -> usize {
        match bytes {
            0..=SMALL_BYTES => self.limit,
            _ => self.limit / LARGE_FRACTION.1 * LARGE_FRACTION.0,
        }
    }
}

/// The account of one connection; closed on drop.
pub(super) struct Holding<'a> {
    memory: &'a Memory,
    key: AccountKey,
    notify: Arc<Notify>,
}

impl Drop for Holding<'_> {
    fn drop(&mut self) {
        self.memory.lock().close(self.key);
    }
}

impl Holding<'_> {
    /// Records that the connection now waits for something else.
    pub(super) fn enter(&self, stage: Stage) {
        self.memory.lock().enter(self.key, stage, Instant::now());
    }

    /// What the connection is waiting for.
    pub(super) fn stage(&self) -> Stage {
        let accounts = self.memory.lock();
        accounts.all.get(self.key).map_or(Stage::Idle, |a| a.stage)
    }

    /// Bytes that the connection holds.
    pub(super) fn held(&self) -> usize {
        let accounts = self.memory.lock();
        accounts.all.get(self.key).map_or(0, |a| a.held)
    }

    /// Records that the connection holds nothing any more.
    pub(super) fn release(&self) {
        self.memory.lock().set(self.key, 0);
    }

    /// Holds `bytes` in total. If the memory is used up, those that hold most for longest without progress give way.
    fn hold(&self, bytes: usize) -> Result<(), Full> {
        let limit = self.memory.limit_for(bytes);
        let mut accounts = self.memory.lock();
        let before = accounts.all.get(self.key).map_or(0, |a| a.held);
        if bytes <= before {
            accounts.set(self.key, bytes);
            return Ok(());
        }
        accounts.set(self.key, bytes);
        let fits = accounts.fit(self.key, limit, STALL_TIME);
        if fits.is_err() {
            accounts.set(self.key, before);
        }
        fits
    }

    /// As `hold`, and waits until those that give way have released what they held.
    pub(super) async fn make_room(&self, bytes: usize) -> Result<(), Full> {
        self.hold(bytes)?;
        while self.memory.is_clearing() {
            task::yield_now().await;
        }
        Ok(())
    }

    /// As `hold`, for a response: it goes on even if nothing else gives way.
    pub(super) fn hold_response(&self, bytes: usize) {
        let limit = self.memory.limit;
        let most = limit / RESPONSE_FRACTION.1 * RESPONSE_FRACTION.0;
        let mut accounts = self.memory.lock();
        accounts.set(self.key, bytes);
        // Further requests are refused until there is memory again.
        let _ = accounts.fit(self.key, limit, STALL_TIME);
        let _ = accounts.fit(self.key, most, Duration::ZERO);
    }

    /// Holds `bytes` of later requests besides the `held` ones of the request that is being handled.
    pub(super) async fn hold_ahead(&self, held: usize, bytes: usize) -> Result<(), Full> {
        if let Some(account) = self.memory.lock().all.get_mut(self.key) {
            account.ahead = bytes;
        }
        let fits = self.make_room(held + bytes).await;
        fits.or_else(|full| match bytes {
            0..AHEAD_BYTES_MIN => Ok(()),
            _ => Err(full),
        })
    }

    /// Records that `bytes` were received or sent.
    pub(super) fn record_progress(&self, bytes: usize) {
        let mut accounts = self.memory.lock();
        if let Some(account) = accounts.all.get_mut(self.key) {
            account.moved += bytes;
            if account.moved >= PROGRESS_BYTES {
                account.moved = 0;
                account.since = Instant::now();
            }
        }
    }

    /// Completes when the connection has to give way.
    pub(super) async fn evicted(&self) -> Eviction {
        loop {
            self.notify.notified().await;
            let accounts = self.memory.lock();
            if let Some(reason) = accounts.all.get(self.key).and_then(|a| a.evicted) {
                return reason;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn receiving(accounts: &mut Accounts, bytes: usize, since: Instant) -> AccountKey {
        let (key, _) = accounts.open(since);
        accounts.enter(key, Stage::Receiving, since);
        accounts.set(key, bytes);
        key
    }

    /// Guards against a crowd that reserves all memory and then sends nothing more.
    #[test]
    fn most_held_for_longest_gives_way_first() {
        let now = Instant::now();
        let mut accounts = Accounts::default();
        let recent = receiving(&mut accounts, 30, now);
        let stalled = receiving(
            &mut accounts,
            20,
            now.checked_sub(Duration::from_secs(2)).expect("in range"),
        );
        let new = receiving(&mut accounts, 20, now);

        let fits = accounts.fit(new, 60, STALL_TIME);

        assert_eq!(fits, Ok(()));
        assert!(accounts.all[stalled].evicted.is_some());
        assert!(accounts.all[recent].evicted.is_none());
    }

    #[test]
    fn request_that_is_being_handled_never_gives_way_for_its_size() {
        let now = Instant::now();
        let mut accounts = Accounts::default();
        let handled = receiving(&mut accounts, 100, now);
        accounts.enter(handled, Stage::Handling, now);
        let new = receiving(&mut accounts, 20, now);

        let fits = accounts.fit(new, 100, STALL_TIME);

        assert_eq!(fits, Err(Full));
        assert!(accounts.all[handled].evicted.is_none());
    }

    #[test]
    fn eviction_that_comes_too_late_is_void() {
        let now = Instant::now();
        let mut accounts = Accounts::default();
        let key = receiving(&mut accounts, 100, now);
        accounts.evict(key, Eviction::Memory);

        accounts.enter(key, Stage::Handling, now);

        assert!(accounts.all[key].evicted.is_none());
        assert_eq!(accounts.leaving, 0);
    }

    #[test]
    fn connection_without_any_answer_is_closed_before_one_with() {
        let now = Instant::now();
        let mut accounts = Accounts::default();
        let served = receiving(
            &mut accounts,
            0,
            now.checked_sub(Duration::from_secs(2)).expect("in range"),
        );
        accounts.all[served].served = true;
        let new = receiving(&mut accounts, 0, now);

        assert_eq!(accounts.most_dispensable(now), Some(new));
    }
}
