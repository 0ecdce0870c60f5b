//! The head of a request: parsed strictly, so that no two readers can disagree about its framing.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// Largest number of header fields in one head.
const FIELDS: usize = 128;

/// Header fields that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// How a request's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes; 0 where there is no body.
    Length(u64),
    /// In chunks.
    Chunked,
}

/// Why a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is over the limit.
    #[error("the request's head is too large")]
    HeadTooLarge,
    /// The body is over the limit.
    #[error("the request's body is too large")]
    BodyTooLarge,
    /// The bytes aren't an unambiguous request.
    #[error("{0}")]
    Invalid(&'static str),
}

/// A parsed head.
#[derive(Clone, Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// Path and query as sent.
    pub target: String,
    /// All header fields as sent.
    pub headers: HeaderMap,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the caller waits for a word before it sends the body.
    pub expects_continue: bool,
}

/// Parses a head from the start of `bytes`; none if it isn't complete yet. The second part is its length.
///
/// # Errors
/// When the head is over `limit` bytes, isn't HTTP/1, or could be read in two ways.
pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Head, usize)>, RequestError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > limit => {
            return Err(RequestError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
        Err(_) => return Err(RequestError::Invalid("the head isn't HTTP/1.1")),
    };
    if length > limit {
        return Err(RequestError::HeadTooLarge);
    }
    let http_11 = request.version == Some(1);
    let method = request.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes())
        .map_err(|_| RequestError::Invalid("the method isn't a token"))?;
    let target = checked_target(request.path.unwrap_or_default())?;
    let headers = header_map(request.headers)?;
    let framing = framing(&headers, http_11)?;
    if headers.get_all(HOST).iter().count() != 1 {
        return Err(RequestError::Invalid("there must be one Host field"));
    }
    let expects_continue = headers
        .get(EXPECT)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let head = Head {
        keep_alive: keep_alive(&headers, http_11),
        method,
        target,
        framing,
        expects_continue,
        headers,
    };
    Ok(Some((head, length)))
}

fn checked_target(target: &str) -> Result<String, RequestError> {
    let plain = target.starts_with('/') && target.bytes().all(|b| b.is_ascii_graphic());
    if plain && !target.contains('#') {
        Ok(target.to_owned())
    } else {
        Err(RequestError::Invalid("the target must be a path"))
    }
}

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, RequestError> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| RequestError::Invalid("a header's name isn't a token"))?;
        let value = HeaderValue::from_bytes(field.value)
            .map_err(|_| RequestError::Invalid("a header's value has control characters"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn framing(headers: &HeaderMap, http_11: bool) -> Result<Framing, RequestError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let framing = match (lengths.next(), encodings.next()) {
        (None, None) => Framing::Length(0),
        (Some(length), None) => Framing::Length(decimal(length.as_bytes())?),
        (None, Some(encoding))
            if http_11 && encoding.as_bytes().eq_ignore_ascii_case(b"chunked") =>
        {
            Framing::Chunked
        }
        (None, Some(_)) => return Err(RequestError::Invalid("the transfer encoding isn't known")),
        (Some(_), Some(_)) => {
            return Err(RequestError::Invalid(
                "the body has a length and a transfer encoding",
            ));
        }
    };
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(framing),
        _ => Err(RequestError::Invalid("the body's framing is given twice")),
    }
}

fn decimal(text: &[u8]) -> Result<u64, RequestError> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text)
        .ok()
        .filter(|_| digits)
        .and_then(|t| t.parse().ok())
        .ok_or(RequestError::Invalid("the content length isn't a number"))
}

fn keep_alive(headers: &HeaderMap, http_11: bool) -> bool {
    let tokens = || connection_tokens(headers);
    if http_11 {
        !tokens().any(|t| t.eq_ignore_ascii_case("close"))
    } else {
        tokens().any(|t| t.eq_ignore_ascii_case("keep-alive"))
    }
}

fn connection_tokens(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(str::trim))
}

/// Whether a field of `headers` goes on to the next hop: it concerns the message, not the connection,
/// and isn't part of its framing.
#[must_use]
pub fn is_end_to_end(name: &HeaderName, headers: &HeaderMap) -> bool {
    let framing = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT].contains(name);
    let fixed = HOP_BY_HOP.contains(&name.as_str());
    let named = connection_tokens(headers).any(|t| t.eq_ignore_ascii_case(name.as_str()));
    !framing && !fixed && !named
}
