//! jackdawtally: a router for language-model traffic with priorities and service levels.
//!
//! The library implements an instance of the router. The program `jackdawtallyd` reads the settings and
//! starts a [`daemon::Daemon`].

pub mod adapters;
pub mod config;
pub mod daemon;
pub mod error;
pub mod event;
pub mod explain;
pub mod fleet;
pub mod forward;
pub mod http1;
pub mod load;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod random;
pub mod rendezvous;
pub mod reports;
pub mod request;
pub mod settings;
pub mod socket;
pub mod sse;

pub use adapters::{callers, operators, platform_http};
pub use config::{catalogue, changelog, object};
pub use fleet::{
    advertisement, claims, frame, leaving_servers, link, membership, origin, stream_lifetimes,
    stream_origins,
};
pub use load::{
    admission_floors, demand, fleet_demand, partition, placement, pool, pools, prompt_placement,
    quarantine, queue, rate_limit, room, scaling, server, server_speed,
};
pub use request::{
    admitted, backend, claim, execution, inference, relay, response, service, token,
};
