//! The chunked transfer coding (RFC 9112, section 7.1), read strictly.

use bytes::{Bytes, BytesMut};

use super::head::RequestError;

/// Longest line that gives a chunk's size, in bytes, extensions included.
const SIZE_LINE: usize = 256;
/// Longest trailer section, in bytes.
const TRAILERS: usize = 4_096;
/// Hexadecimal digits of a chunk's size at most.
const DIGITS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data(usize),
    DataEnd,
    Trailers(usize),
    Done,
}

/// Decodes one body.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    body: BytesMut,
    limit: usize,
}

impl Decoder {
    /// A decoder for a body of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            state: State::Size,
            body: BytesMut::new(),
            limit,
        }
    }

    /// Bytes of the body so far.
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Takes what it can from `bytes`; gives the body once it is complete.
    ///
    /// # Errors
    /// When the coding is broken or the body is too large.
    pub fn feed(&mut self, bytes: &mut BytesMut) -> Result<Option<Bytes>, RequestError> {
        while self.step(bytes)? {}
        let done = self.state == State::Done;
        Ok(done.then(|| std::mem::take(&mut self.body).freeze()))
    }

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
            State::Size | State::DataEnd | State::Trailers(_) => match line(bytes)? {
                Some(line) => self.line(&line).map(|()| true),
                None => Ok(false),
            },
        }
    }

    fn line(&mut self, line: &[u8]) -> Result<(), RequestError> {
        self.state = match self.state {
            State::Size => self.chunk(size(line)?)?,
            State::DataEnd if line.is_empty() => State::Size,
            State::DataEnd => return Err(RequestError::Invalid("a chunk is longer than its size")),
            State::Trailers(_) if line.is_empty() => State::Done,
            State::Trailers(seen) if seen + line.len() > TRAILERS => {
                return Err(RequestError::HeadTooLarge);
            }
            State::Trailers(seen) => State::Trailers(seen + line.len()),
            state @ (State::Data(_) | State::Done) => state,
        };
        Ok(())
    }

    fn chunk(&self, size: usize) -> Result<State, RequestError> {
        match size {
            0 => Ok(State::Trailers(0)),
            size if self.body.len() + size > self.limit => Err(RequestError::BodyTooLarge),
            size => Ok(State::Data(size)),
        }
    }
}

/// The next line without its end, if it is complete.
fn line(bytes: &mut BytesMut) -> Result<Option<BytesMut>, RequestError> {
    let Some(end) = memchr::memchr(b'\n', bytes) else {
        return match bytes.len() {
            0..=SIZE_LINE => Ok(None),
            _ => Err(RequestError::Invalid(
                "a line of the chunked body is too long",
            )),
        };
    };
    let mut line = bytes.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(RequestError::Invalid(
            "a line of the chunked body lacks its end",
        ));
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn size(line: &[u8]) -> Result<usize, RequestError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let hex = (1..=DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(digits)
        .ok()
        .filter(|_| hex)
        .and_then(|d| usize::from_str_radix(d, 16).ok())
        .ok_or(RequestError::Invalid("a chunk's size isn't a number"))
}
