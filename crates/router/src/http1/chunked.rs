//! Strict decoder for the chunked transfer coding (RFC 9112, section 7.1).

use bytes::{Bytes, BytesMut};

use super::head::RequestError;

/// Length limit for a chunk-size line, including chunk extensions.
const MAX_LINE_BYTES: usize = 256;
/// Size limit for the trailer section.
const MAX_TRAILER_BYTES: usize = 4_096;
/// Limit on the hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A chunk-size line.
    Size,
    /// This many more bytes of chunk data.
    Data(usize),
    /// The CRLF after the chunk data.
    DataEnd,
    /// A trailer field or the final empty line; holds the bytes of the trailer section so far.
    Trailers(usize),
    /// Nothing: the body is complete.
    Done,
}

/// Decodes one chunked body into a contiguous buffer.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    body: BytesMut,
    limit: usize,
}

impl Decoder {
    /// Creates a decoder for a body of at most `limit` bytes, not counting the chunk framing.
    pub fn new(limit: usize) -> Self {
        Self {
            state: State::Size,
            body: BytesMut::new(),
            limit,
        }
    }

    /// Memory that the decoded part of the body takes.
    pub fn capacity(&self) -> usize {
        self.body.capacity()
    }

    /// Consumes as much of `bytes` as it can decode. Returns the body once it is complete, and `None`
    /// while more input is needed.
    ///
    /// # Errors
    /// Returns an error if the coding is invalid, or if the body or its trailers exceed their limits.
    pub fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Bytes>, RequestError> {
        while self.step(bytes)? {}
        let done = self.state == State::Done;
        Ok(done.then(|| std::mem::take(&mut self.body).freeze()))
    }

    /// Decodes one line or part of a chunk. Returns whether the decoder can continue without more input.
    fn step(&mut self, bytes: &mut BytesMut) -> Result<bool, RequestError> {
        match self.state {
            State::Done => Ok(false),
            State::Data(left) => {
                let taken = left.min(bytes.len());
                self.body.extend_from_slice(&bytes.split_to(taken));
                self.state = match left - taken {
                    0 => State::DataEnd,
                    left => State::Data(left),
                };
                Ok(taken == left)
            }
            State::Size | State::DataEnd | State::Trailers(_) => match take_line(bytes)? {
                Some(line) => self.handle_line(&line).map(|()| true),
                None => Ok(false),
            },
        }
    }

    fn handle_line(&mut self, line: &[u8]) -> Result<(), RequestError> {
        self.state = match self.state {
            State::Size => self.start_chunk(parse_size(line)?)?,
            State::DataEnd if line.is_empty() => State::Size,
            State::DataEnd => return Err(RequestError::Invalid("chunk data exceeds its size")),
            State::Trailers(_) if line.is_empty() => State::Done,
            State::Trailers(seen) if seen + line.len() > MAX_TRAILER_BYTES => {
                return Err(RequestError::HeadTooLarge);
            }
            State::Trailers(seen) => State::Trailers(seen + line.len()),
            state @ (State::Data(_) | State::Done) => state,
        };
        Ok(())
    }

    fn start_chunk(&self, size: usize) -> Result<State, RequestError> {
        match size {
            0 => Ok(State::Trailers(0)),
            size if self.body.len() + size > self.limit => Err(RequestError::BodyTooLarge),
            size => Ok(State::Data(size)),
        }
    }
}

/// Takes the next line off `bytes`, without its CRLF. Returns `None` if the line isn't complete yet.
fn take_line(bytes: &mut BytesMut) -> Result<Option<BytesMut>, RequestError> {
    let Some(end) = memchr::memchr(b'\n', bytes) else {
        return match bytes.len() {
            0..=MAX_LINE_BYTES => Ok(None),
            _ => Err(RequestError::Invalid("line in chunked body is too long")),
        };
    };
    let mut line = bytes.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(RequestError::Invalid(
            "line in chunked body does not end with CRLF",
        ));
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Parses a chunk-size line; chunk extensions are ignored.
fn parse_size(line: &[u8]) -> Result<usize, RequestError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let hex =
        (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(digits)
        .ok()
        .filter(|_| hex)
        .and_then(|d| usize::from_str_radix(d, 16).ok())
        .ok_or(RequestError::Invalid(
            "chunk size is not a hexadecimal number of 1 to 8 digits",
        ))
}
