//! Admission control, queueing and load balancing: decisions based on the state that this instance
//! holds. This module does no network I/O.

pub mod budget;
pub mod placement;
pub mod pool;
pub mod pools;
pub mod pressure;
pub mod queue;
pub mod server;
