//! A copy of the objects of one kind in the platform's store, and the differences between such copies.
//!
//! The store numbers its changes, so of two copies the one with the later position is the newer one, and a copy
//! never goes back. A store that was restored from an older copy begins a new era, in which it numbers anew.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::object_history::{ObjectHistory, PastState};

pub use crate::fleet::object_history::Revision;

/// The name of a kind of objects in the store.
pub type Kind = SmolStr;
/// Counts how often the store was restored from an older copy.
pub type Era = u32;

/// Maximum number of removed objects that a copy remembers for the sake of differences.
const MAX_REMOVED: usize = 4_096;

/// A point in the history of the store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era.
    #[serde(rename = "e")]
    pub era: Era,
    /// The last change.
    #[serde(rename = "r")]
    pub revision: Revision,
}

/// The last change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The object's name.
    #[serde(rename = "n")]
    pub name: SmolStr,
    /// The revision of the object's last change.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The object's content as text, which only the adapter to the store can read; `None` if the object
    /// was removed.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Arc<str>>,
}

/// What leads from one position of a copy to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The position that the changes follow; `None` if they are all objects that exist.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Position>,
    /// The position that the changes lead to.
    #[serde(rename = "t")]
    pub to: Position,
    /// The last change of each object that changed.
    #[serde(rename = "c")]
    pub changes: Vec<ObjectChange>,
    /// All other states that objects had in between, those of objects that came and went included; `None` if some may
    /// be unknown, as in differences of older builds.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub history: Option<Vec<PastState>>,
}

#[derive(Debug)]
struct StoredObject {
    revision: Revision,
    content: Arc<str>,
}

impl StoredObject {
    /// The state that the object of this name had.
    fn past(self, name: SmolStr) -> PastState {
        PastState {
            name,
            revision: self.revision,
            content: self.content,
        }
    }
}

/// A copy of the objects of one kind.
#[derive(Debug, Default)]
pub struct Replica {
    position: Option<Position>,
    objects: BTreeMap<SmolStr, StoredObject>,
    /// Removed objects, with the position of the copy with which that became known.
    removed: BTreeMap<SmolStr, Position>,
    history: ObjectHistory,
    /// Objects that were removed up to this position may be unknown.
    floor: Position,
    /// No change after this position is part of the copy.
    last_change: Position,
}

impl Replica {
    /// The position of the copy; `None` before the first complete difference.
    #[must_use]
    pub const fn position(&self) -> Option<Position> {
        self.position
    }

    /// The position up to which removed objects may be unknown: a difference from an earlier one is complete.
    #[must_use]
    pub const fn floor(&self) -> Position {
        self.floor
    }

    /// The position of the copy's last change: the copy is the same there and at its own position.
    #[must_use]
    pub const fn last_change(&self) -> Position {
        self.last_change
    }

    /// Moves on without a change, if `last_change` of another copy at the position `to` shows that this one lacks
    /// nothing. Returns whether it does.
    pub fn advance(&mut self, to: Position, last_change: Position) -> bool {
        let complete = self.position >= Some(last_change);
        if complete {
            self.position = self.position.max(Some(to));
        }
        complete
    }

    /// Applies a difference. Returns `false`, and changes nothing, if it leads to no later position or
    /// follows one that this copy hasn't reached.
    pub fn merge(&mut self, difference: Difference) -> bool {
        let Difference {
            from,
            to,
            changes,
            history,
        } = difference;
        let newer = self.position.is_none_or(|own| to > own);
        let connected = match (from, self.position) {
            (None, _) => true,
            (Some(from), Some(own)) => from <= own && own.era == to.era,
            (Some(_), None) => false,
        };
        if !newer || !connected {
            return false;
        }
        match history {
            Some(states) if from.is_some() => {
                for state in states {
                    self.history.insert(state);
                }
            }
            _ => self.history.restart(to.revision),
        }
        if from.is_none() {
            self.remove_all_but(&changes, to);
            self.objects.clear();
            // Objects that came and went in between are in no complete difference.
            self.floor = to;
            self.last_change = to;
        }
        for change in changes {
            self.apply(change, to);
        }
        self.forget_removed();
        self.position = Some(to);
        true
    }

    /// What leads from the position `from` to that of this copy, complete if `from` is `None` or too long
    /// ago; `None` as long as this copy is empty.
    #[must_use]
    pub fn difference(&self, from: Option<Position>) -> Option<Difference> {
        let to = self.position?;
        let from = from.filter(|from| *from >= self.floor);
        let after = |changed: Position| from.is_none_or(|from| changed > from);
        let position = |revision| Position { revision, ..to };
        let stored = self.objects.iter();
        let stored = stored.filter(|(_, object)| after(position(object.revision)));
        let stored = stored.map(|(name, object)| ObjectChange {
            name: name.clone(),
            revision: object.revision,
            content: Some(Arc::clone(&object.content)),
        });
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, position)| from.is_some() && after(**position));
        let removed = removed.map(|(name, position)| ObjectChange {
            name: name.clone(),
            revision: position.revision,
            content: None,
        });
        Some(Difference {
            from,
            to,
            changes: stored.chain(removed).collect(),
            history: from.and_then(|from| self.history.after(from.revision)),
        })
    }

    fn remove_all_but(&mut self, kept: &[ObjectChange], to: Position) {
        let missing = |name: &SmolStr| !kept.iter().any(|change| change.name == *name);
        let missing: Vec<SmolStr> = self
            .objects
            .keys()
            .filter(|n| missing(n))
            .cloned()
            .collect();
        for name in missing {
            self.removed.insert(name, to);
        }
    }

    fn apply(&mut self, change: ObjectChange, to: Position) {
        let Some(content) = change.content else {
            if let Some(last) = self.objects.remove(&change.name) {
                self.history.insert(last.past(change.name.clone()));
            }
            self.removed.insert(change.name, to);
            self.last_change = to;
            return;
        };
        let object = StoredObject {
            revision: change.revision,
            content,
        };
        let known = self.objects.get(&change.name);
        if known.is_some_and(|known| known.revision > change.revision) {
            // A list may contain changes that were made while it was read.
            self.history.insert(object.past(change.name));
            return;
        }
        let changed = Position {
            revision: change.revision,
            ..to
        };
        self.last_change = self.last_change.max(changed.min(to));
        self.removed.remove(&change.name);
        let replaced = self.objects.insert(change.name.clone(), object);
        if let Some(replaced) = replaced.filter(|r| r.revision < change.revision) {
            self.history.insert(replaced.past(change.name));
        }
    }

    fn forget_removed(&mut self) {
        let excess = self.removed.len().saturating_sub(MAX_REMOVED);
        if excess == 0 {
            return;
        }
        let mut positions: Vec<Position> = self.removed.values().copied().collect();
        positions.sort_unstable();
        self.floor = self.floor.max(positions[excess - 1]);
        self.removed.retain(|_, position| *position > self.floor);
    }
}
