//! HTTP/1.1 server for callers' connections, with strict control over message framing, over closing a
//! connection without a response, and over detecting that a caller disconnected.
//!
//! Request heads are parsed with `httparse`, as in hyper. Hyper's own server isn't used because it hides
//! whether a request had both Content-Length and Transfer-Encoding, and because it starts its header
//! timeout while the connection is still idle.

mod chunked;
mod connection;
mod head;
mod memory;
mod response_writer;

pub use connection::{Handler, Limits, Phase, Request, serve};
pub use head::{Framing, Head, RequestError, is_end_to_end, parse};
pub use memory::Memory;
pub use response_writer::{Disconnected, ResponseWriter};
