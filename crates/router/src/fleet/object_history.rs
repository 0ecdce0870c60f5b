//! The states that objects of one kind had before their last ones, for those who need to know all of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The store's change counter, which begins anew from an earlier value with each era.
pub type Revision = u64;

/// Maximum size of the states that are remembered, in bytes of their content.
const MAX_BYTES: usize = 1 << 20;

/// A state that an object had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastState {
    /// The object's name.
    #[serde(rename = "n")]
    pub name: SmolStr,
    /// The revision with which the state began.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The object's content as text.
    #[serde(rename = "c")]
    pub content: Arc<str>,
}

/// Replaced and removed states of the objects of one copy.
#[derive(Debug, Default)]
pub struct ObjectHistory {
    states: BTreeMap<(Revision, SmolStr), Arc<str>>,
    /// Size of the states in bytes of their content.
    bytes: usize,
    /// States that began up to this revision may be unknown.
    floor: Revision,
}

impl ObjectHistory {
    /// Forgets everything, because changes up to `revision` may be unknown.
    pub fn restart(&mut self, revision: Revision) {
        self.states.clear();
        self.bytes = 0;
        self.floor = revision;
    }

    /// Remembers a state that an object no longer has, and forgets the oldest ones if there are too many.
    pub fn insert(&mut self, state: PastState) {
        let PastState {
            name,
            revision,
            content,
        } = state;
        if revision <= self.floor {
            return;
        }
        self.bytes += content.len();
        let known = self.states.insert((revision, name), content);
        self.bytes -= known.map_or(0, |c| c.len());
        while self.bytes > MAX_BYTES
            && let Some(((revision, _), content)) = self.states.pop_first()
        {
            self.bytes -= content.len();
            self.floor = revision;
        }
    }

    /// The states that began after `revision`; `None` if some may be unknown.
    #[must_use]
    pub fn after(&self, revision: Revision) -> Option<Vec<PastState>> {
        if revision < self.floor {
            return None;
        }
        let states = self.states.iter().filter(|((r, _), _)| *r > revision);
        let states = states.map(|((revision, name), content)| PastState {
            name: name.clone(),
            revision: *revision,
            content: Arc::clone(content),
        });
        Some(states.collect())
    }
}
