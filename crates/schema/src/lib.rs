//! The operators' gRPC schema, as generated from `proto/operators.proto`.
//!
//! The generated code is committed; the test `generated` makes it anew and compares.

/// Messages, client and server of the operators' service.
#[allow(missing_docs, clippy::pedantic, clippy::all, reason = "generated")]
#[rustfmt::skip]
pub mod operators {
    include!("generated/jackdawtally.operators.v1.rs");
}
