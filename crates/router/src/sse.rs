//! Parser and writer of server-sent events (WHATWG HTML, section 9.2).

use bytes::{Bytes, BytesMut};

/// Maximum length of a line that the parser accepts.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum length of an event that is passed on unchanged.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A parsed event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// The `data` fields, joined by newlines.
    pub data: Bytes,
}

/// A line of the stream exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of the event stream is longer than {MAX_LINE_BYTES} bytes")]
pub struct LineTooLong;

/// Incremental parser of an event stream.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    event: Event,
    has_data: bool,
}

impl Reader {
    /// Appends the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// If an incomplete line exceeds the maximum length.
    pub fn event(&mut self) -> Result<Option<Event>, LineTooLong> {
        while let Some(end) = memchr::memchr(b'\n', &self.buffer) {
            let mut line = self.buffer.split_to(end + 1);
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if line.is_empty() && self.has_data {
                self.has_data = false;
                return Ok(Some(std::mem::take(&mut self.event)));
            }
            self.field(&line.freeze());
        }
        match self.buffer.len() {
            0..=MAX_LINE_BYTES => Ok(None),
            _ => Err(LineTooLong),
        }
    }

    fn field(&mut self, line: &Bytes) {
        match memchr::memchr(b':', line) {
            Some(4) if line.starts_with(b"data") => {
                let value = line.slice(value_start(line, 5)..);
                self.event.data = if self.has_data {
                    [&self.event.data[..], b"\n", &value[..]].concat().into()
                } else {
                    value
                };
                self.has_data = true;
            }
            Some(2) if line.starts_with(b"id") => {
                let value = &line[value_start(line, 3)..];
                self.event.id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            }
            _ => {}
        }
    }
}

/// An event of the stream exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Complete events in their original encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Bytes of the events, each with its terminating empty line.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last: Option<u64>,
}

/// Whether the events of a stream have ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EventIds {
    /// Some may have none.
    #[default]
    Optional,
    /// Each has one, as the stream can be resumed after it. Anything else but comments is no part of the stream.
    Required,
}

/// Splits a byte stream into complete events and leaves their bytes unchanged.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
    ids: EventIds,
    /// Whether an event lacks the required id. It and what follows are left out.
    foreign: bool,
}

impl EventSplitter {
    /// Creates a splitter of a stream whose events have ids or not.
    #[must_use]
    pub fn new(ids: EventIds) -> Self {
        Self {
            ids,
            ..Self::default()
        }
    }

    /// Whether something was found that is no part of the stream.
    #[must_use]
    pub const fn is_foreign(&self) -> bool {
        self.foreign
    }

    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    /// If an incomplete event exceeds the maximum length.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Whether no incomplete event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns all complete events, or `None` if there are none. Events whose id isn't higher than `after` are
    /// left out; `None` keeps all.
    pub fn events(&mut self, after: Option<u64>) -> Option<Batch> {
        let mut bytes = BytesMut::new();
        let mut last = after;
        while let Some(event) = self.next_event() {
            let id = event_id(&event);
            if self.ids == EventIds::Required && id.is_none() && !is_comment(&event) {
                self.foreign = true;
                break;
            }
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

    /// Removes the next complete event from the buffer.
    fn next_event(&mut self) -> Option<Bytes> {
        let mut start = self.scanned;
        while let Some(length) = memchr::memchr(b'\n', &self.buffer[start..]) {
            let line = &self.buffer[start..start + length];
            let end = start + length + 1;
            if line.is_empty() || line == b"\r" {
                self.scanned = 0;
                return Some(self.buffer.split_to(end).freeze());
            }
            start = end;
        }
        self.scanned = start;
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Whether all lines of an event are comments, or empty.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n');
    lines.all(|line| line.starts_with(b":") || line.trim_ascii().is_empty())
}

fn value_start(line: &[u8], after_colon: usize) -> usize {
    after_colon + usize::from(line.get(after_colon) == Some(&b' '))
}

/// Encodes one event. An empty `id` is left out; `data` must not contain newlines.
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
    fn events_are_parsed_for_any_split_of_the_input() {
        let text = b"id: 7\ndata: {\"a\":1}\n\n: comment\r\ndata: [DONE]\r\n\r\n";
        for split in 0..text.len() {
            let mut reader = Reader::default();
            let mut events = Vec::new();

            for part in [&text[..split], &text[split..]] {
                reader.feed(part);
                while let Some(event) = reader.event().expect("the lines are short") {
                    events.push(event);
                }
            }

            assert_eq!(events.len(), 2, "split at {split}");
            assert_eq!(events[0].id, Some(7));
            assert_eq!(&events[1].data[..], b"[DONE]");
        }
    }
}
