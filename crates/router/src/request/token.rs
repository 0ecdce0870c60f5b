//! Stream tokens: the opaque ids of events, with which a caller resumes its stream anywhere.
//!
//! A token is `base64url(server NUL stream NUL offset NUL sent ‖ first 16 bytes of HMAC-SHA-256)` under a key derived from the
//! fleet's, and bound to the organisation.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::error::{Fault, Kind};

/// Bytes of the authentication code that a token carries.
const CODE_BYTES: usize = 16;
/// Longest token that is read.
const TOKEN_CHARS: usize = 512;

/// A place in a backend server's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The backend server's name.
    pub server: SmolStr,
    /// The stream's id at the backend server.
    pub stream: SmolStr,
    /// The number of the last event that the caller was sent.
    pub offset: u64,
    /// How many pieces of the whole answer the caller was sent, from this stream and earlier ones.
    pub sent: u64,
}

/// Signs and checks stream tokens.
#[derive(Clone)]
pub struct TokenSigner {
    mac: Hmac<Sha256>,
}

impl TokenSigner {
    /// A signer for a fleet's key.
    ///
    /// # Panics
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(fleet_key: &str) -> Self {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(fleet_key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(b"jackdawtally stream token 1\0");
        Self { mac }
    }

    /// The signer of one organisation's tokens for one stream.
    #[must_use]
    pub fn stream(&self, organisation: &str, server: &str, stream: &str) -> StreamSigner {
        StreamSigner {
            mac: bind(&self.mac, organisation, server, stream),
            prefix: format!("{server}\0{stream}\0"),
        }
    }

    /// Reads a token of `organisation`.
    ///
    /// # Errors
    /// `bad_stream_token` when it is malformed, altered, or another organisation's.
    pub fn verify(&self, organisation: &str, token: &str) -> Result<StreamPosition, Fault> {
        self.decode(organisation, token)
            .ok_or_else(|| Fault::new(Kind::BadStreamToken, "the event id isn't one of yours"))
    }

    fn decode(&self, organisation: &str, token: &str) -> Option<StreamPosition> {
        if token.len() > TOKEN_CHARS {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(token).ok()?;
        let (payload, code) = bytes.split_at_checked(bytes.len().checked_sub(CODE_BYTES)?)?;
        let mut fields = std::str::from_utf8(payload).ok()?.split('\0');
        let (server, stream) = (fields.next()?, fields.next()?);
        let (offset, sent) = (fields.next()?, fields.next()?);
        let mut mac = bind(&self.mac, organisation, server, stream);
        mac.update(format!("{offset}\0{sent}").as_bytes());
        mac.verify_truncated_left(code).ok()?;
        Some(StreamPosition {
            server: server.into(),
            stream: stream.into(),
            offset: offset.parse().ok()?,
            sent: sent.parse().ok()?,
        })
    }
}

fn bind(mac: &Hmac<Sha256>, organisation: &str, server: &str, stream: &str) -> Hmac<Sha256> {
    let mut mac = mac.clone();
    for field in [organisation, server, stream] {
        mac.update(&(field.len() as u64).to_be_bytes());
        mac.update(field.as_bytes());
    }
    mac
}

/// Signs the tokens of one stream.
pub struct StreamSigner {
    mac: Hmac<Sha256>,
    prefix: String,
}

impl StreamSigner {
    /// The token for the event of number `offset`, after `sent` pieces of the whole answer.
    #[must_use]
    pub fn token(&self, offset: u64, sent: u64) -> String {
        let place = format!("{offset}\0{sent}");
        let mut mac = self.mac.clone();
        mac.update(place.as_bytes());
        let code = mac.finalize().into_bytes();
        let payload = [
            self.prefix.as_bytes(),
            place.as_bytes(),
            &code[..CODE_BYTES],
        ]
        .concat();
        URL_SAFE_NO_PAD.encode(payload)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_token_reads_back() {
        let signer = TokenSigner::new("0123456789abcdef");

        let token = signer.stream("fair", "engine-1", "s-1").token(42, 43);

        let position = signer.verify("fair", &token).expect("valid");
        assert_eq!(position.offset, 42);
        assert_eq!(position.server, "engine-1");
    }

    #[test]
    fn every_altered_character_is_refused() {
        let signer = TokenSigner::new("0123456789abcdef");
        let token = signer.stream("fair", "engine-1", "s-1").token(42, 43);

        for i in 0..token.len() {
            let mut altered = token.clone().into_bytes();
            altered[i] = if altered[i] == b'A' { b'B' } else { b'A' };
            let altered = String::from_utf8(altered).expect("ASCII");

            assert!(signer.verify("fair", &altered).is_err(), "character {i}");
        }
    }

    #[test]
    fn another_organisation_is_refused() {
        let signer = TokenSigner::new("0123456789abcdef");
        let token = signer.stream("fair", "engine-1", "s-1").token(42, 43);

        assert!(signer.verify("radio", &token).is_err());
    }
}
