//! One request of the product's own callers, from admission to its end.

pub mod admitted;
pub mod backend;
pub mod claim;
pub mod execution;
pub mod inference;
pub mod relay;
pub mod response;
pub mod service;
pub mod token;
