//! Property tests of the parsers: invalid input produces an error and never a panic.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck requires arguments by value"
)]

mod common;

use jackdawtally::frame::{self, Frame, Hello, Seal, Side};
use jackdawtally::inference::{ApiFormat, InferenceRequest};
use jackdawtally::object::Declarations;
use jackdawtally::settings::Settings;
use jackdawtally::sse::Reader;
use jackdawtally::token::TokenSigner;
use quickcheck::{Gen, QuickCheck, Testable};

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 0x7461_6c6c))
        .tests(500)
        .quickcheck(property);
}

/// Replaces up to four bytes of `text`, given by position and new value.
fn corrupt(text: &str, replacements: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (position, byte) in replacements.iter().take(4) {
        let index = position % bytes.len();
        bytes[index] = *byte;
    }
    bytes
}

#[test]
fn arbitrary_bytes_as_frames_never_panic() {
    fn never_panics(bytes: Vec<u8>) -> bool {
        let _ = frame::decode::<Frame>(&bytes);
        let _ = frame::decode::<Hello>(&bytes);
        Seal::new("0123456789abcdef", Side::Dialer, &[[0; 16]; 2])
            .open(&bytes)
            .is_err()
    }
    check(never_panics as fn(Vec<u8>) -> bool);
}

#[test]
fn corrupted_frames_never_panic() {
    fn never_panics(replacements: Vec<(usize, u8)>) -> bool {
        let frame = Frame::Instances(vec![common::instance_record("a", "north")]);
        let mut bytes = frame::encode(&frame);
        for (position, byte) in replacements {
            let index = position % bytes.len();
            bytes[index] = byte;
        }
        let _ = frame::decode::<Frame>(&bytes);
        true
    }
    check(never_panics as fn(Vec<(usize, u8)>) -> bool);
}

#[test]
fn errors_of_corrupted_settings_name_the_file_on_one_line() {
    fn names_the_file(replacements: Vec<(usize, u8)>) -> bool {
        let text = include_str!("../../../examples/jackdawtallyd.toml");
        let text = String::from_utf8_lossy(&corrupt(text, &replacements)).into_owned();
        match Settings::parse("f.toml", &text) {
            Ok(_) => true,
            Err(error) => {
                let line = error.to_string();
                line.starts_with("f.toml: ") && !line.contains('\n')
            }
        }
    }
    check(names_the_file as fn(Vec<(usize, u8)>) -> bool);
}

#[test]
fn errors_of_corrupted_declarations_are_one_line() {
    fn is_one_line(replacements: Vec<(usize, u8)>) -> bool {
        let text = include_str!("../../../examples/fair.toml");
        let text = String::from_utf8_lossy(&corrupt(text, &replacements)).into_owned();
        Declarations::parse(&text)
            .err()
            .is_none_or(|e| !e.is_empty() && !e.contains('\n'))
    }
    check(is_one_line as fn(Vec<(usize, u8)>) -> bool);
}

#[test]
fn arbitrary_stream_tokens_are_rejected() {
    fn is_rejected(token: String) -> bool {
        TokenSigner::new("0123456789abcdef")
            .verify("fair", &token)
            .is_err()
    }
    check(is_rejected as fn(String) -> bool);
}

#[test]
fn arbitrary_bytes_as_bodies_and_event_streams_never_panic() {
    fn never_panics(bytes: Vec<u8>) -> bool {
        let mut reader = Reader::default();
        reader.feed(&bytes);
        while let Ok(Some(_)) = reader.event() {}
        InferenceRequest::parse(ApiFormat::Chat, &bytes).is_err()
    }
    check(never_panics as fn(Vec<u8>) -> bool);
}
