//! Whole events out of a byte stream, unchanged.

#[path = "common/property.rs"]
mod property;

use jackdawtally::sse::EventSplitter;

const TEXT: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d\n\n";

fn collect(parts: &[&[u8]], after: Option<u64>) -> (Vec<u8>, Option<u64>, bool) {
    let mut splitter = EventSplitter::default();
    let mut last = after;
    let mut bytes = Vec::new();
    for part in parts {
        splitter.feed(part);
        if let Some(batch) = splitter.events(last) {
            bytes.extend_from_slice(&batch.bytes);
            last = batch.last;
        }
    }
    (bytes, last, splitter.is_empty())
}

#[test]
fn any_cut_gives_the_same_bytes() {
    fn property(cut: usize) -> bool {
        let cut = cut % TEXT.len();
        collect(&[&TEXT[..cut], &TEXT[cut..]], None) == (TEXT.to_vec(), Some(4), true)
    }
    property::check(property as fn(usize) -> bool);
}

#[test]
fn a_part_of_an_event_is_held_back() {
    fn property(cut: usize) -> bool {
        let cut = cut % TEXT.len();
        let (bytes, _, empty) = collect(&[&TEXT[..cut]], None);
        let whole = bytes.is_empty() || bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n");
        whole && TEXT.starts_with(&bytes) && empty == (bytes.len() == cut)
    }
    property::check(property as fn(usize) -> bool);
}

#[test]
fn events_that_the_caller_has_are_left_out() {
    let (bytes, last, _) = collect(&[TEXT], Some(2));

    assert_eq!(bytes, b"data: c\n\nid: 4\ndata: d\n\n");
    assert_eq!(last, Some(4));
}
