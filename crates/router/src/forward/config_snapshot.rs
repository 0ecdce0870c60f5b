//! What the operators have declared, as one compiled snapshot, and the cell that holds the newest.

use std::collections::HashMap;
use std::sync::Arc;

use smol_str::SmolStr;
use tokio::sync::watch;

use super::route::RouteTable;
use crate::config::object::Level;
use crate::http1::Limits;

/// A version of the declarations; larger is newer.
pub type ConfigVersion = u64;

/// Who a caller belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: SmolStr,
    /// The rank of its requests, where it goes before the route's.
    pub level: Option<Level>,
}

/// One version of the declarations.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    /// The version; 0 before any is known.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: RouteTable,
    /// Who holds a key; none where callers need no key at all.
    pub keys: Option<HashMap<SmolStr, Arc<Organisation>>>,
    /// Bounds on callers.
    pub limits: Limits,
}

/// Holds the newest declarations; an older version never replaces a newer one.
#[derive(Debug)]
pub struct CurrentConfig {
    cell: watch::Sender<Arc<ConfigSnapshot>>,
}

impl CurrentConfig {
    /// A cell that begins with `initial`.
    #[must_use]
    pub fn new(initial: ConfigSnapshot) -> Self {
        Self {
            cell: watch::Sender::new(Arc::new(initial)),
        }
    }

    /// The newest declarations.
    #[must_use]
    pub fn get(&self) -> Arc<ConfigSnapshot> {
        self.cell.borrow().clone()
    }

    /// Takes in a version; tells whether it is newer than what was known.
    #[must_use]
    pub fn update_if_newer(&self, declarations: ConfigSnapshot) -> bool {
        self.cell.send_if_modified(|current| {
            let newer = declarations.version > current.version;
            if newer {
                *current = Arc::new(declarations);
            }
            newer
        })
    }
}
