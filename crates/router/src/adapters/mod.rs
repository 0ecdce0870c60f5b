//! Network interfaces of an instance: the HTTP API for callers, the gRPC API for operators, and the client
//! of the platform's object service.

pub mod callers;
pub mod operators;
pub mod platform_http;
