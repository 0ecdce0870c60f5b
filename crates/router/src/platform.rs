//! The port to the platform's object service and instance list.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The version of an object; grows with every write to the platform.
pub type Version = u64;

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The version read.
    pub version: Version,
    /// The value, under a megabyte.
    pub value: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition didn't hold; nothing was written.
    #[error("the condition didn't hold")]
    Conflict,
    /// The platform refused for its rate limit; nothing was written.
    #[error("over the platform's rate limit")]
    Throttled,
    /// No usable reply; a write may or may not have taken effect.
    #[error("no reply from the platform: {0}")]
    Unavailable(String),
}

/// An object that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The object's key.
    pub key: String,
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Bytes,
}

/// What a watch reports at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The version up to which the batch is complete.
    pub version: Version,
    /// The objects written since, by version.
    pub items: Vec<Item>,
}

/// Whether an instance takes work, as the platform's list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It takes work.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// One line of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub id: SmolStr,
    /// The instance's address for peers.
    pub peers: SocketAddr,
    /// Whether it takes work.
    pub presence: Presence,
}

/// The platform's object service and instance list.
pub trait Platform: Send + Sync + 'static {
    /// Reads one object.
    ///
    /// # Errors
    /// `Throttled` or `Unavailable`.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Stored>, Error>> + Send;

    /// Writes one object if `condition` holds, and answers with its new version.
    ///
    /// # Errors
    /// `Conflict`, `Throttled` or `Unavailable`.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Reports the objects under `prefix` written after `after`, waiting up to `wait` for one.
    ///
    /// # Errors
    /// `Throttled` or `Unavailable`.
    fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Reads the instance list, which lags.
    ///
    /// # Errors
    /// `Throttled` or `Unavailable`.
    fn instances(&self) -> impl Future<Output = Result<Vec<ListedInstance>, Error>> + Send;
}
