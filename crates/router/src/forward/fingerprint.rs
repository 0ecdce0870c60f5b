//! Recognises a request that comes again, at any instance of the fleet.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::load::quarantine::SuspectId;

/// Computes fingerprints of requests: the beginning of an HMAC-SHA-256 with a key that the instances of a fleet have in
/// common. Without the key nobody can make a request with the fingerprint of somebody else's.
pub struct Fingerprints {
    mac: Hmac<Sha256>,
}

impl Fingerprints {
    /// Derives the key from that of the fleet.
    ///
    /// # Panics
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(fleet_key: &str) -> Self {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(fleet_key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(b"jackdawtally request fingerprint 1\0");
        Self { mac }
    }

    /// The fingerprint of a request; the same for all that have the same method, target, organisation and body.
    #[must_use]
    pub fn of(
        &self,
        method: &str,
        target: &str,
        organisation: Option<&str>,
        body: &[u8],
    ) -> SuspectId {
        let mut mac = self.mac.clone();
        mac.update(&[u8::from(organisation.is_some())]);
        for field in [
            method.as_bytes(),
            target.as_bytes(),
            organisation.unwrap_or_default().as_bytes(),
            body,
        ] {
            // Each field follows its length, so that bytes can't move between fields.
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        let tag = mac.finalize().into_bytes();
        let bytes = tag.first_chunk().copied().unwrap_or_default();
        SuspectId::from_be_bytes(bytes)
    }
}
