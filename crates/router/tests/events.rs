//! Tests of the splitter that passes on complete server-sent events without changing their bytes.

#[path = "common/property.rs"]
mod property;

use jackdawtally::sse::EventSplitter;

const TEXT: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d\n\n";

fn collect(parts: &[&[u8]], after: Option<u64>) -> (Vec<u8>, Option<u64>, bool) {
    let mut splitter = EventSplitter::default();
    let mut last = after;
    let mut bytes = Vec::new();
    for part in parts {
        splitter.feed(part).expect("the events are short");
        if let Some(batch) = splitter.events(last) {
            bytes.extend_from_slice(&batch.bytes);
            last = batch.last;
        }
    }
    (bytes, last, splitter.is_empty())
}

#[test]
fn output_is_the_same_for_any_split_of_the_input() {
    fn property(offset: usize) -> bool {
        let offset = offset % TEXT.len();
        collect(&[&TEXT[..offset], &TEXT[offset..]], None) == (TEXT.to_vec(), Some(4), true)
    }
    property::check(property as fn(usize) -> bool);
}

#[test]
fn incomplete_event_is_buffered() {
    fn property(offset: usize) -> bool {
        let offset = offset % TEXT.len();
        let (bytes, _, empty) = collect(&[&TEXT[..offset]], None);
        let is_complete =
            bytes.is_empty() || bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n");
        is_complete && TEXT.starts_with(&bytes) && empty == (bytes.len() == offset)
    }
    property::check(property as fn(usize) -> bool);
}

#[test]
fn events_already_received_by_the_caller_are_left_out() {
    let (bytes, last, _) = collect(&[TEXT], Some(2));

    assert_eq!(bytes, b"data: c\n\nid: 4\ndata: d\n\n");
    assert_eq!(last, Some(4));
}

/// An event without end filled the memory, and each further block was searched with all that came before.
#[test]
fn event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let block = vec![b'x'; 1 << 16];

    let accepted = (0..100).take_while(|_| {
        let fed = splitter.feed(&block).is_ok();
        fed && splitter.events(None).is_none()
    });

    assert!(accepted.count() < 20);
}
