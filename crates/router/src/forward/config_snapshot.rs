//! An immutable snapshot of the operators' configuration, and the holder of the current one.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time;

use super::route::RouteTable;
use super::tier_order::TierOrder;
use crate::config::object::Level;
use crate::http1::Limits;
use crate::load::scaling;

/// Version of the configuration; a larger number is newer.
pub type ConfigVersion = u64;

/// The organisation that a caller's key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: SmolStr,
    /// Priority level that orders its requests among those of other organisations; `None` for that of the route. 0 is
    /// the most important.
    pub level: Option<Level>,
}

/// One version of the configuration, decoded for use.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    /// The version; 0 until a configuration was received.
    pub version: ConfigVersion,
    /// The configured routes.
    pub routes: RouteTable,
    /// The organisation of each key; `None` if callers need no key on any route.
    pub keys: Option<HashMap<SmolStr, Arc<Organisation>>>,
    /// How important requests are, by the levels of their organisation and route.
    pub tiers: TierOrder,
    /// Bounds of the number of servers of each pool whose servers are ordered by its demand.
    pub scaling: BTreeMap<SmolStr, scaling::Bounds>,
    /// Limits for callers' requests.
    pub limits: Limits,
}

/// Holds the current configuration; an older version never replaces a newer one.
#[derive(Debug)]
pub struct CurrentConfig {
    sender: watch::Sender<Arc<ConfigSnapshot>>,
}

impl CurrentConfig {
    /// Creates a holder with the given configuration.
    #[must_use]
    pub fn new(initial: ConfigSnapshot) -> Self {
        Self {
            sender: watch::Sender::new(Arc::new(initial)),
        }
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn get(&self) -> Arc<ConfigSnapshot> {
        self.sender.borrow().clone()
    }

    /// Waits for a configuration of this version or a newer one, at most for `timeout`, and returns the current one.
    pub async fn wait_for(&self, version: ConfigVersion, timeout: Duration) -> Arc<ConfigSnapshot> {
        let mut current = self.sender.subscribe();
        let newer = current.wait_for(|current| current.version >= version);
        // The sender lives as long as `self`.
        let _ = time::timeout(timeout, newer).await;
        self.get()
    }

    /// Replaces the current configuration if `snapshot` has a newer version. Returns whether it did.
    #[must_use]
    pub fn update_if_newer(&self, snapshot: ConfigSnapshot) -> bool {
        self.sender.send_if_modified(|current| {
            let newer = snapshot.version > current.version;
            if newer {
                *current = Arc::new(snapshot);
            }
            newer
        })
    }
}
