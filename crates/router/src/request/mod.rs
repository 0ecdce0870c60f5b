//! Requests of callers for inference (`/v1/`) and for generic services (`/services/`), from admission to the
//! end of the response.

pub mod admitted;
pub mod backend;
pub mod claim;
pub mod execution;
pub mod inference;
pub mod relay;
pub mod response;
pub mod service;
pub mod token;
