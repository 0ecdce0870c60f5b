//! Communication among router instances: membership, claims on idempotency keys, and the peer links
//! that carry both.

pub mod advertisement;
pub mod claims;
pub mod duties;
pub mod frame;
pub mod isolated_instances;
pub mod leaving_servers;
pub mod link;
pub mod links;
pub mod list_confirmation;
pub mod list_position;
pub mod membership;
pub mod object_history;
pub mod origin;
pub mod packing;
pub mod quarantine_store;
pub mod record_sync;
pub mod replica;
pub mod replicas;
pub mod replication;
pub mod stream_lifetimes;
pub mod stream_origins;
pub mod transit_delay;
pub mod version_records;

pub use links::{desired_links, is_watcher};
