//! Forwards opaque requests to backend servers: selects the route, decides when and how often a request is
//! attempted, and determines which response its caller receives.
//!
//! This module doesn't depend on names of header fields. Adapters decode a caller's request into a
//! [`request::Request`], and a [`backend_protocol::BackendProtocol`] encodes the requests to backend servers
//! and interprets their responses.

pub mod access_log;
pub mod attempt;
pub mod backend_protocol;
pub mod config_snapshot;
pub mod connection_pool;
pub mod crash;
pub mod fingerprint;
pub mod forwarder;
pub mod isolation;
pub mod origin;
pub mod peer;
pub mod request;
pub mod retry_after;
pub mod route;
pub mod tier_order;
