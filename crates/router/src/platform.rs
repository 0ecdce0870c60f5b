//! Interface to the platform's object service and instance list.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Version of an object. Every write to the platform gets a higher version.
pub type Version = u64;

/// An object read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version of the object.
    pub version: Version,
    /// Value of the object, less than 1 MB.
    pub value: Bytes,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The current version of the object is this one.
    Version(Version),
}

/// Failure of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The precondition failed; nothing was written.
    #[error("the precondition of the write failed")]
    Conflict,
    /// The platform's rate limit was exceeded; nothing was written.
    #[error("rate limit of the platform exceeded")]
    Throttled,
    /// No valid response; a write may or may not have taken effect.
    #[error("no valid response from the platform: {0}")]
    Unavailable(String),
}

/// An object reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: Version,
    /// Value of the object.
    pub value: Bytes,
}

/// Result of one long poll of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// Version up to which the batch is complete; the next poll continues after it.
    pub version: Version,
    /// Objects written since the previous poll, ordered by version.
    pub items: Vec<WatchedObject>,
}

/// Whether an instance accepts requests, according to the platform's instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The instance accepts requests.
    Live,
    /// The instance is draining.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: SmolStr,
    /// Address for links from peers.
    pub peers: SocketAddr,
    /// Whether the instance accepts requests.
    pub presence: Presence,
}

/// The platform's object service and instance list.
pub trait Platform: Send + Sync + 'static {
    /// Reads one object; `None` if it doesn't exist.
    ///
    /// # Errors
    /// [`Error::Throttled`] or [`Error::Unavailable`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredObject>, Error>> + Send;

    /// Writes one object if `condition` holds, and returns its new version.
    ///
    /// # Errors
    /// [`Error::Conflict`], [`Error::Throttled`] or [`Error::Unavailable`].
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version, Error>> + Send;

    /// Returns the objects under `prefix` written after the version `after`. Waits up to `wait` if there are
    /// none yet.
    ///
    /// # Errors
    /// [`Error::Throttled`] or [`Error::Unavailable`].
    fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchBatch, Error>> + Send;

    /// Reads the instance list, which is eventually consistent.
    ///
    /// # Errors
    /// [`Error::Throttled`] or [`Error::Unavailable`].
    fn instances(&self) -> impl Future<Output = Result<Vec<ListedInstance>, Error>> + Send;
}
