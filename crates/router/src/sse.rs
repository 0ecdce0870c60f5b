//! Reads and writes server-sent events (WHATWG HTML, section 9.2).

use bytes::{Bytes, BytesMut};

/// Largest line that is read, in bytes.
const LINE_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id` field, as a number.
    pub id: Option<u64>,
    /// The `data` field.
    pub data: Bytes,
}

/// A line that is longer than any event may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of an event stream is over {LINE_BYTES} bytes")]
pub struct TooLong;

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    event: Event,
    data: bool,
}

impl Reader {
    /// Takes in the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event, if there is one.
    ///
    /// # Errors
    /// When a line is too long.
    pub fn event(&mut self) -> Result<Option<Event>, TooLong> {
        while let Some(end) = memchr::memchr(b'\n', &self.buffer) {
            let mut line = self.buffer.split_to(end + 1);
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if line.is_empty() && self.data {
                self.data = false;
                return Ok(Some(std::mem::take(&mut self.event)));
            }
            self.field(&line.freeze());
        }
        match self.buffer.len() {
            0..=LINE_BYTES => Ok(None),
            _ => Err(TooLong),
        }
    }

    fn field(&mut self, line: &Bytes) {
        match memchr::memchr(b':', line) {
            Some(4) if line.starts_with(b"data") => {
                let value = line.slice(value_start(line, 5)..);
                self.event.data = if self.data {
                    [&self.event.data[..], b"\n", &value[..]].concat().into()
                } else {
                    value
                };
                self.data = true;
            }
            Some(2) if line.starts_with(b"id") => {
                let value = &line[value_start(line, 3)..];
                self.event.id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            }
            _ => {}
        }
    }
}

/// Events as they were sent, cut at their ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The events, each with the empty line that ends it.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last: Option<u64>,
}

/// Cuts a byte stream into whole events without changing a byte of them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    seen: usize,
}

impl EventSplitter {
    /// Takes in the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether no part of an event waits for its rest.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// All whole events that there are, without those up to `after`.
    pub fn events(&mut self, after: Option<u64>) -> Option<Batch> {
        let mut bytes = BytesMut::new();
        let mut last = after;
        while let Some(event) = self.event() {
            let id = event_id(&event);
            if id.is_some() && id <= last {
                continue;
            }
            last = id.or(last);
            bytes.extend_from_slice(&event);
        }
        (!bytes.is_empty()).then(|| Batch {
            bytes: bytes.freeze(),
            last,
        })
    }

    /// The next whole event.
    fn event(&mut self) -> Option<Bytes> {
        let mut start = self.seen;
        while let Some(length) = memchr::memchr(b'\n', &self.buffer[start..]) {
            let line = &self.buffer[start..start + length];
            let end = start + length + 1;
            if line.is_empty() || line == b"\r" {
                self.seen = 0;
                return Some(self.buffer.split_to(end).freeze());
            }
            start = end;
        }
        self.seen = start;
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn value_start(line: &[u8], after_colon: usize) -> usize {
    after_colon + usize::from(line.get(after_colon) == Some(&b' '))
}

/// One event as bytes.
#[must_use]
pub fn write(id: &str, data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(id.len() + data.len() + 14);
    if !id.is_empty() {
        bytes.extend_from_slice(b"id: ");
        bytes.extend_from_slice(id.as_bytes());
        bytes.extend_from_slice(b"\n");
    }
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
    bytes.freeze()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_survive_any_cut() {
        let text = b"id: 7\ndata: {\"a\":1}\n\n: comment\r\ndata: [DONE]\r\n\r\n";
        for cut in 0..text.len() {
            let mut reader = Reader::default();
            let mut events = Vec::new();

            for part in [&text[..cut], &text[cut..]] {
                reader.feed(part);
                while let Some(event) = reader.event().expect("short lines") {
                    events.push(event);
                }
            }

            assert_eq!(events.len(), 2, "cut at {cut}");
            assert_eq!(events[0].id, Some(7));
            assert_eq!(&events[1].data[..], b"[DONE]");
        }
    }
}
