//! Stand-ins for the outside systems, and the bench that runs instances against them.

pub mod bench;
pub mod caller;
pub mod configuration;
pub mod deployment;
pub mod execution_log;
pub mod faults;
pub mod http_server;
pub mod instances;
pub mod naive;
pub mod network;
pub mod platform;
pub mod report;
pub mod simulated_server;
pub mod test_bed;
pub mod traffic;
pub mod verdict;
