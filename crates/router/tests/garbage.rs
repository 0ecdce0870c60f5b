//! Whatever bytes come in, the answer is an error and never a panic.

#![expect(
    clippy::needless_pass_by_value,
    reason = "the signatures that quickcheck takes"
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

/// A valid text with some bytes replaced.
fn damaged(text: &str, damage: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (place, byte) in damage.iter().take(4) {
        let place = place % bytes.len();
        bytes[place] = *byte;
    }
    bytes
}

#[test]
fn frames() {
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
fn damaged_frames() {
    fn never_panics(damage: Vec<(usize, u8)>) -> bool {
        let frame = Frame::Instances(vec![common::instance_record("a", "north")]);
        let mut bytes = frame::encode(&frame);
        for (place, byte) in damage {
            let place = place % bytes.len();
            bytes[place] = byte;
        }
        let _ = frame::decode::<Frame>(&bytes);
        true
    }
    check(never_panics as fn(Vec<(usize, u8)>) -> bool);
}

#[test]
fn settings() {
    fn names_the_file(damage: Vec<(usize, u8)>) -> bool {
        let text = include_str!("../../../examples/jackdawtallyd.toml");
        let text = String::from_utf8_lossy(&damaged(text, &damage)).into_owned();
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
fn declarations() {
    fn one_line(damage: Vec<(usize, u8)>) -> bool {
        let text = include_str!("../../../examples/fair.toml");
        let text = String::from_utf8_lossy(&damaged(text, &damage)).into_owned();
        Declarations::parse(&text)
            .err()
            .is_none_or(|e| !e.is_empty() && !e.contains('\n'))
    }
    check(one_line as fn(Vec<(usize, u8)>) -> bool);
}

#[test]
fn stream_tokens() {
    fn refused(token: String) -> bool {
        TokenSigner::new("0123456789abcdef")
            .verify("fair", &token)
            .is_err()
    }
    check(refused as fn(String) -> bool);
}

#[test]
fn bodies_and_event_streams() {
    fn never_panics(bytes: Vec<u8>) -> bool {
        let mut reader = Reader::default();
        reader.feed(&bytes);
        while let Ok(Some(_)) = reader.event() {}
        InferenceRequest::parse(ApiFormat::Chat, &bytes).is_err()
    }
    check(never_panics as fn(Vec<u8>) -> bool);
}
