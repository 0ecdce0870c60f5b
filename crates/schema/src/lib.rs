//! The gRPC service for operators, generated from `proto/operators.proto`.
//!
//! The generated code is committed; the test `generated` regenerates it and compares the two.

/// The messages, the client and the server of the operators' service.
#[allow(missing_docs, clippy::pedantic, clippy::all, reason = "generated")]
#[rustfmt::skip]
pub mod operators {
    include!("generated/jackdawtally.operators.v1.rs");
}
