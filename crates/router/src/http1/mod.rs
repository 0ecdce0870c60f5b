//! HTTP/1.1 towards callers where the exact framing matters: which bytes belong to which request, when a
//! connection ends without an answer, and when a caller has left.
//!
//! Heads are parsed by the library that hyper uses as well; hyper's own server hides whether a request
//! carried two framings, and starts its head timeout while a connection is idle.

mod chunked;
mod connection;
mod head;
mod reply;

pub use connection::{Handler, Limits, Phase, Request, serve};
pub use head::{Framing, Head, RequestError, is_end_to_end, parse};
pub use reply::{Disconnected, ResponseWriter};
