//! Admission control, queueing and load balancing: decisions based on the state that this instance
//! holds. This module does no network I/O.

pub mod admission_floors;
pub mod arrival_rates;
pub mod brittleness;
pub mod budget;
pub mod crash_evidence;
pub mod demand;
pub mod fleet_demand;
pub mod isolation;
pub mod partition;
pub mod placement;
pub mod pool;
pub mod pools;
pub mod prompt_placement;
pub mod quantile;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod room;
pub mod scaling;
pub mod server;
pub mod server_speed;
