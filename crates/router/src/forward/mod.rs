//! Passes opaque requests on to backend servers: which route a request takes, when and how often it may
//! be sent, and what its caller is told.
//!
//! Nothing here knows how a header is spelled. Adapters decode a caller's request into a
//! [`request::Request`], and a [`backend_protocol::BackendProtocol`] writes and reads what goes over the wire to a backend
//! server.

pub mod access_log;
pub mod attempt;
pub mod backend_protocol;
pub mod config_snapshot;
pub mod connection_pool;
pub mod forwarder;
pub mod request;
pub mod route;
