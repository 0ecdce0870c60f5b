//! Compression of what instances send each other of the store's objects.

use std::io::Read;

/// Why bytes can't be unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// They weren't made by [`pack`].
    #[error("malformed")]
    Malformed,
    /// The result is longer than the limit.
    #[error("oversized")]
    Oversized,
}

/// Compression level: the quickest, as small instances have little processor time.
const LEVEL: i32 = 1;

/// Compresses `bytes`; `None` if there isn't enough memory for that.
#[must_use]
pub fn pack(bytes: &[u8]) -> Option<Vec<u8>> {
    zstd::bulk::compress(bytes, LEVEL).ok()
}

/// Reverses [`pack`].
///
/// # Errors
/// `Oversized` if the result is longer than `limit` bytes, `Malformed` if `packed` wasn't made by [`pack`].
pub fn unpack(packed: &[u8], limit: usize) -> Result<Vec<u8>, Error> {
    let malformed = |_| Error::Malformed;
    let decoder = zstd::stream::read::Decoder::new(packed).map_err(malformed)?;
    let mut bytes = Vec::new();
    let beyond = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    decoder
        .take(beyond)
        .read_to_end(&mut bytes)
        .map_err(malformed)?;
    if bytes.len() > limit {
        return Err(Error::Oversized);
    }
    Ok(bytes)
}
