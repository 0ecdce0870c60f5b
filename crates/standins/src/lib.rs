//! Simulated external systems (backend servers, platform, network and callers), and the load bench
//! that runs router instances against them.

pub mod bench;
pub mod brittle_check;
pub mod caller;
pub mod config_checks;
pub mod crash_check;
pub mod cut_check;
pub mod deployment;
pub mod execution_log;
pub mod faults;
pub mod http_server;
pub mod instances;
pub mod invariants;
pub mod network;
pub mod platform;
pub mod rate_check;
pub mod refusal_check;
pub mod report;
pub mod round_robin;
pub mod simulated_server;
pub mod test_bed;
pub mod traffic;
