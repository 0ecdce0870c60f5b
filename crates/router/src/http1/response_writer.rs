//! Writes the response to a caller, either complete with a Content-Length or chunked. A chunked response
//! that isn't finished ends without its last chunk, so the caller sees that it is truncated.

use std::io::Write as _;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time;

use super::head;
use super::memory::{Holding, Stage};

/// Time without any progress of a write after which the caller is treated as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of a body up to which it's copied to be sent together with its head.
const MAX_COPIED_BYTES: usize = 16 << 10;

/// Error for a caller that closed its connection or stopped reading its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected")]
pub struct Disconnected;

/// Progress of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Unsent,
    Streaming,
    Complete,
}

/// Writes the response to one request.
pub struct ResponseWriter<'a> {
    account: &'a Holding<'a>,
    pub(super) stream: WriteHalf<'a>,
    pub(super) state: State,
    /// Whether the connection is closed after the response, announced in its `Connection` field.
    pub(super) close: bool,
    /// Whether the request was a HEAD request, whose response has no body.
    pub(super) head_only: bool,
}

impl<'a> ResponseWriter<'a> {
    pub(super) const fn new(stream: WriteHalf<'a>, account: &'a Holding<'a>) -> Self {
        Self {
            account,
            stream,
            state: State::Unsent,
            close: false,
            head_only: false,
        }
    }

    pub(super) const fn reset(&mut self) {
        self.state = State::Unsent;
        self.close = false;
        self.head_only = false;
    }

    /// Whether no byte of the response has been written.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        self.state == State::Unsent
    }

    pub(super) async fn send_continue(&mut self) -> Result<(), Disconnected> {
        self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Sends a complete response with its Content-Length. The body is left out for a HEAD request and for
    /// the statuses 204 and 304.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub async fn send(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<(), Disconnected> {
        let mut bytes = self.encode_head(status, headers);
        let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
        if !bodiless {
            append(
                &mut bytes,
                format_args!("content-length: {}\r\n", body.len()),
            );
        }
        bytes.extend_from_slice(b"\r\n");
        let body = if bodiless || self.head_only {
            &[][..]
        } else {
            body
        };
        self.state = State::Streaming;
        if body.len() <= MAX_COPIED_BYTES {
            bytes.extend_from_slice(body);
            self.write(&bytes).await?;
        } else {
            self.write(&bytes).await?;
            self.write(body).await?;
        }
        self.state = State::Complete;
        Ok(())
    }

    /// Starts a chunked response: sends its head and its first chunk. An empty `chunk` sends the head alone.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub async fn start_chunked(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        chunk: &[u8],
    ) -> Result<(), Disconnected> {
        let mut bytes = self.encode_head(status, headers);
        bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        append_chunk(&mut bytes, chunk);
        self.state = State::Streaming;
        self.write(&bytes).await
    }

    /// Sends the next chunk of a chunked response; an empty one sends nothing.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub async fn send_chunk(&mut self, chunk: &[u8]) -> Result<(), Disconnected> {
        let mut bytes = Vec::with_capacity(chunk.len() + 16);
        append_chunk(&mut bytes, chunk);
        self.write(&bytes).await
    }

    /// Sends the last chunk, which marks a chunked response as complete.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub async fn finish(&mut self) -> Result<(), Disconnected> {
        self.write(b"0\r\n\r\n").await?;
        self.state = State::Complete;
        Ok(())
    }

    /// Encodes the status line and the header fields, without the empty line and the framing fields.
    fn encode_head(&self, status: StatusCode, headers: &HeaderMap) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        let reason = status.canonical_reason().unwrap_or("Status");
        append(
            &mut bytes,
            format_args!("HTTP/1.1 {} {reason}\r\n", status.as_u16()),
        );
        for (name, value) in headers {
            if head::is_end_to_end(name, headers) && name != CONTENT_LENGTH {
                bytes.extend_from_slice(name.as_str().as_bytes());
                bytes.extend_from_slice(b": ");
                bytes.extend_from_slice(value.as_bytes());
                bytes.extend_from_slice(b"\r\n");
            }
        }
        if self.close {
            append(&mut bytes, format_args!("{CONNECTION}: close\r\n"));
        }
        bytes
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        match self.stream.try_write(bytes) {
            Ok(n) if n == bytes.len() => Ok(()),
            Ok(n) => self.write_rest(&bytes[n..]).await,
            Err(_) => self.write_rest(bytes).await,
        }
    }

    /// Writes what the caller has to make room for by reading. If the memory is used up, it may have to give way.
    async fn write_rest(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        let stage = self.account.stage();
        self.account.enter(Stage::Sending);
        let account = self.account;
        let written = tokio::select! {
            biased;
            _ = account.evicted() => Err(Disconnected),
            written = self.write_steadily(bytes) => written,
        };
        self.account.enter(stage);
        written
    }

    async fn write_steadily(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        let held = self.account.held();
        self.account.hold_response(held + bytes.len());
        let mut rest = bytes;
        while !rest.is_empty() {
            let write = time::timeout(WRITE_TIMEOUT, self.stream.write(rest)).await;
            match write {
                Ok(Ok(n)) if n > 0 => {
                    rest = &rest[n..];
                    self.account.record_progress(n);
                }
                Ok(_) | Err(_) => return Err(Disconnected),
            }
        }
        self.account.hold_response(held);
        Ok(())
    }
}

/// Encodes one chunk. Empty data is skipped, as a chunk of size 0 would end the body.
fn append_chunk(bytes: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    append(bytes, format_args!("{:x}\r\n", data.len()));
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
}

fn append(bytes: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to a `Vec` never fails.
    let _ = bytes.write_fmt(text);
}
