//! The way back to a caller: a whole answer, or one in pieces that looks broken unless it is ended.

use std::io::Write as _;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time;

use super::head;

/// Time that a caller may stop reading its answer before it counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// The caller can't be answered any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has gone")]
pub struct Disconnected;

/// How far an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Unsent,
    Streaming,
    Ended,
}

/// The way back to the caller for one request.
pub struct ResponseWriter<'a> {
    pub(super) out: WriteHalf<'a>,
    pub(super) state: State,
    pub(super) close: bool,
    pub(super) head_only: bool,
}

impl<'a> ResponseWriter<'a> {
    pub(super) const fn new(out: WriteHalf<'a>) -> Self {
        Self {
            out,
            state: State::Unsent,
            close: false,
            head_only: false,
        }
    }

    pub(super) const fn reset(&mut self) {
        self.state = State::Unsent;
        self.close = false;
    }

    /// Whether no byte of the answer has been sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        self.state == State::Unsent
    }

    pub(super) async fn proceed(&mut self) -> Result<(), Disconnected> {
        self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn send(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<(), Disconnected> {
        let mut bytes = self.head(status, headers);
        let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
        if !bodiless {
            put(
                &mut bytes,
                format_args!("content-length: {}\r\n", body.len()),
            );
        }
        bytes.extend_from_slice(b"\r\n");
        if !bodiless && !self.head_only {
            bytes.extend_from_slice(body);
        }
        self.write(&bytes).await?;
        self.state = State::Ended;
        Ok(())
    }

    /// Begins an answer that comes in pieces, with its first one.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn start_chunked(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        piece: &[u8],
    ) -> Result<(), Disconnected> {
        let mut bytes = self.head(status, headers);
        bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        chunk(&mut bytes, piece);
        self.state = State::Streaming;
        self.write(&bytes).await
    }

    /// Sends the next piece.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn send_chunk(&mut self, piece: &[u8]) -> Result<(), Disconnected> {
        let mut bytes = Vec::with_capacity(piece.len() + 16);
        chunk(&mut bytes, piece);
        self.write(&bytes).await
    }

    /// Ends an answer in pieces as complete.
    ///
    /// # Errors
    /// When the caller has gone.
    pub async fn finish(&mut self) -> Result<(), Disconnected> {
        self.write(b"0\r\n\r\n").await?;
        self.state = State::Ended;
        Ok(())
    }

    fn head(&self, status: StatusCode, headers: &HeaderMap) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        let reason = status.canonical_reason().unwrap_or("Status");
        put(
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
            put(&mut bytes, format_args!("{CONNECTION}: close\r\n"));
        }
        bytes
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        match time::timeout(WRITE_TIMEOUT, self.out.write_all(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Disconnected),
        }
    }
}

fn chunk(bytes: &mut Vec<u8>, piece: &[u8]) {
    if piece.is_empty() {
        return;
    }
    put(bytes, format_args!("{:x}\r\n", piece.len()));
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
}

fn put(bytes: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to memory can't fail.
    let _ = bytes.write_fmt(text);
}
