//! Stream tokens: opaque event ids with which a caller resumes its stream at any instance.
//!
//! A token is `base64url(server NUL stream NUL offset NUL sent ‖ first 16 bytes of HMAC-SHA-256)`. The HMAC
//! is keyed with the fleet key, starts with a fixed prefix, and covers the organisation as well.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::error::{Fault, Kind};

/// Length of the truncated HMAC in a token, in bytes.
const MAC_BYTES: usize = 16;
/// Maximum length of an accepted token, in base64url characters.
const MAX_TOKEN_CHARS: usize = 512;

/// Position in a stream of a backend server up to which the caller was sent the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// Name of the backend server.
    pub server: SmolStr,
    /// Id of the stream at the backend server.
    pub stream: SmolStr,
    /// Number of the last event that was sent to the caller, in this stream; the first event is 1.
    pub offset: u64,
    /// Tokens of the response that were sent to the caller, from this stream and earlier ones. Each chunk
    /// with text counts as one token.
    pub sent_tokens: u64,
}

/// Signs and verifies stream tokens with the key of the fleet.
#[derive(Clone)]
pub struct TokenSigner {
    mac: Hmac<Sha256>,
}

impl TokenSigner {
    /// Derives the signer from the key of the fleet.
    ///
    /// # Panics
    /// Never: HMAC accepts keys of any length.
    #[must_use]
    pub fn new(fleet_key: &str) -> Self {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(fleet_key.as_bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(b"jackdawtally stream token 1\0");
        Self { mac }
    }

    /// A signer for the tokens of one stream, bound to the organisation of its caller.
    #[must_use]
    pub fn stream_signer(&self, organisation: &str, server: &str, stream: &str) -> StreamSigner {
        StreamSigner {
            mac: bound_mac(&self.mac, organisation, server, stream),
            prefix: format!("{server}\0{stream}\0"),
        }
    }

    /// Verifies a token of `organisation` and returns its position.
    ///
    /// # Errors
    /// `bad_stream_token` when the token is malformed, altered, or of another organisation.
    pub fn verify(&self, organisation: &str, token: &str) -> Result<StreamPosition, Fault> {
        self.decode(organisation, token).ok_or_else(|| {
            Fault::new(
                Kind::BadStreamToken,
                "the event id is malformed, altered, or of another organisation",
            )
        })
    }

    fn decode(&self, organisation: &str, token: &str) -> Option<StreamPosition> {
        if token.len() > MAX_TOKEN_CHARS {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(token).ok()?;
        let (payload, code) = bytes.split_at_checked(bytes.len().checked_sub(MAC_BYTES)?)?;
        let mut fields = std::str::from_utf8(payload).ok()?.split('\0');
        let (server, stream) = (fields.next()?, fields.next()?);
        let (offset, sent_tokens) = (fields.next()?, fields.next()?);
        let mut mac = bound_mac(&self.mac, organisation, server, stream);
        mac.update(format!("{offset}\0{sent_tokens}").as_bytes());
        mac.verify_truncated_left(code).ok()?;
        Some(StreamPosition {
            server: server.into(),
            stream: stream.into(),
            offset: offset.parse().ok()?,
            sent_tokens: sent_tokens.parse().ok()?,
        })
    }
}

/// Adds the fields to the HMAC, each after its length, so that bytes cannot move between fields.
fn bound_mac(mac: &Hmac<Sha256>, organisation: &str, server: &str, stream: &str) -> Hmac<Sha256> {
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
    /// The token of event number `offset`, with which `sent_tokens` tokens of the response are sent.
    #[must_use]
    pub fn sign(&self, offset: u64, sent_tokens: u64) -> String {
        let position = format!("{offset}\0{sent_tokens}");
        let mut mac = self.mac.clone();
        mac.update(position.as_bytes());
        let code = mac.finalize().into_bytes();
        let payload = [
            self.prefix.as_bytes(),
            position.as_bytes(),
            &code[..MAC_BYTES],
        ]
        .concat();
        URL_SAFE_NO_PAD.encode(payload)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn signed_token_is_verified() {
        let signer = TokenSigner::new("0123456789abcdef");

        let token = signer.stream_signer("fair", "engine-1", "s-1").sign(42, 43);

        let position = signer.verify("fair", &token).expect("the token is valid");
        assert_eq!(position.offset, 42);
        assert_eq!(position.server, "engine-1");
    }

    #[test]
    fn token_with_any_altered_character_is_rejected() {
        let signer = TokenSigner::new("0123456789abcdef");
        let token = signer.stream_signer("fair", "engine-1", "s-1").sign(42, 43);

        for i in 0..token.len() {
            let mut altered = token.clone().into_bytes();
            altered[i] = if altered[i] == b'A' { b'B' } else { b'A' };
            let altered = String::from_utf8(altered).expect("ASCII");

            assert!(
                signer.verify("fair", &altered).is_err(),
                "altered character {i} was accepted"
            );
        }
    }

    #[test]
    fn token_of_another_organisation_is_rejected() {
        let signer = TokenSigner::new("0123456789abcdef");
        let token = signer.stream_signer("fair", "engine-1", "s-1").sign(42, 43);

        assert!(signer.verify("radio", &token).is_err());
    }
}
