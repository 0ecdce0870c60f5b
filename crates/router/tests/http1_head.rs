//! Parsing of request heads: anything that two HTTP implementations could interpret differently is rejected.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

#[path = "common/property.rs"]
mod property;

use jackdawtally::http1::{self, Framing, RequestError};

const LIMIT: usize = 1_024;

fn parse(text: &str) -> Result<Option<(http1::Head, usize)>, RequestError> {
    http1::parse(text.as_bytes(), LIMIT)
}

fn with_fields(fields: &str) -> String {
    format!("POST /a/b?c HTTP/1.1\r\nhost: h\r\n{fields}\r\n")
}

#[test]
fn valid_request_is_parsed() {
    let text = with_fields("content-length: 3\r\n");

    let (head, length) = parse(&text).expect("valid").expect("complete");

    assert_eq!(length, text.len());
    assert_eq!(head.target, "/a/b?c");
    assert_eq!(head.framing, Framing::Length(3));
    assert!(head.keep_alive);
}

#[test]
fn ambiguous_framing_is_rejected() {
    let cases = [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: 3, 3\r\n",
        "content-length: +3\r\n",
        "content-length: 0x3\r\n",
        "content-length:\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding : chunked\r\n",
        "host: other\r\n",
        " folded: line\r\n",
    ];

    for fields in cases {
        let result = parse(&with_fields(fields));

        assert!(
            matches!(result, Err(RequestError::Invalid(_))),
            "{fields:?}"
        );
    }
}

#[test]
fn targets_other_than_absolute_paths_are_rejected() {
    let cases = ["http://h/a", "*", "a/b", "/a#b", "/a\u{7f}", "h:80"];

    for target in cases {
        let result = parse(&format!("GET {target} HTTP/1.1\r\nhost: h\r\n\r\n"));

        assert!(result.is_err(), "{target:?}");
    }
}

#[test]
fn request_without_host_is_rejected() {
    assert!(parse("GET / HTTP/1.1\r\n\r\n").is_err());
}

#[test]
fn chunked_request_in_http_1_0_is_rejected() {
    let text = "POST / HTTP/1.0\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";

    assert!(parse(text).is_err());
}

#[test]
fn oversized_head_is_rejected_complete_or_partial() {
    let long = "x".repeat(LIMIT);
    let complete = with_fields(&format!("a: {long}\r\n"));

    for text in [complete.as_str(), &complete[..complete.len() - 2]] {
        let result = parse(text);

        assert_eq!(result.err(), Some(RequestError::HeadTooLarge));
    }
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let text =
        with_fields("connection: close, x-mine\r\nx-mine: 1\r\nx-other: 2\r\nte: trailers\r\n");
    let (head, _) = parse(&text).expect("valid").expect("complete");

    let forwarded: Vec<&str> = head
        .headers
        .keys()
        .filter(|name| http1::is_end_to_end(name, &head.headers))
        .map(http::HeaderName::as_str)
        .collect();

    assert_eq!(forwarded, ["host", "x-other"]);
    assert!(!head.keep_alive);
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let _ = http1::parse(&bytes, LIMIT);
        true
    }
    property::check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn truncated_head_is_incomplete() {
    fn property(cut: usize) -> bool {
        let text = with_fields("content-length: 3\r\nx-a: b\r\n");
        let cut = cut % text.len();
        matches!(parse(&text[..cut]), Ok(None))
    }
    property::check(property as fn(usize) -> bool);
}
