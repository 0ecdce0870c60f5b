//! The position of the store up to which the pools follow the list of backend servers, for those who compare what the
//! pools show with what other instances have recorded.

use std::sync::{Mutex, PoisonError};

use crate::fleet::replica::Position;

/// The position of the list that the pools follow; the zero position before the first list.
#[derive(Debug, Default)]
pub struct ListPosition(Mutex<Position>);

impl ListPosition {
    /// Applies a change of the list with `apply`, which leads to the position `to`.
    pub fn advance(&self, to: Position, apply: impl FnOnce()) {
        let mut position = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        apply();
        *position = to;
    }

    /// Reads from the pools with `read` while no change is being applied. Returns the result with its position.
    pub fn read<T>(&self, read: impl FnOnce() -> T) -> (Position, T) {
        let position = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (*position, read())
    }
}
