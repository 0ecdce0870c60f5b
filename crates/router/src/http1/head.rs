//! Parses request heads. Every head that two HTTP implementations could frame differently is rejected, so
//! that no request can be smuggled past the router inside the body of another.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

/// Limit on the number of header fields in one head.
const MAX_FIELDS: usize = 128;

/// Header fields that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
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

/// How the end of a request body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By the Content-Length in bytes; 0 for a request without a body.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
}

/// Why a request was rejected before it reached the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head exceeds its size limit or has too many fields, or the trailers of a chunked body do.
    #[error("request head exceeds the size limit")]
    HeadTooLarge,
    /// The body exceeds its size limit.
    #[error("request body exceeds the size limit")]
    BodyTooLarge,
    /// The request violates HTTP/1 or could be interpreted in more than one way; says how.
    #[error("{0}")]
    Invalid(&'static str),
}

/// A parsed request head.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request method.
    pub method: Method,
    /// Path and query as received.
    pub target: String,
    /// All header fields as received, hop-by-hop fields included.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the caller allows another request on the connection.
    pub keep_alive: bool,
    /// Whether the caller waits for a 100 Continue response before it sends the body.
    pub expects_continue: bool,
}

/// Parses a request head at the start of `bytes`. Returns the head and its length in bytes, or `None` if
/// the head isn't complete yet.
///
/// # Errors
/// Returns an error if the head is longer than `limit` bytes, is not valid HTTP/1, or is ambiguous.
pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Head, usize)>, RequestError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > limit => {
            return Err(RequestError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
        Err(_) => return Err(RequestError::Invalid("request head is not valid HTTP/1")),
    };
    if length > limit {
        return Err(RequestError::HeadTooLarge);
    }
    let http_11 = request.version == Some(1);
    let method = request.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes())
        .map_err(|_| RequestError::Invalid("method is not a valid token"))?;
    let target = parse_target(request.path.unwrap_or_default())?;
    let headers = header_map(request.headers)?;
    let framing = body_framing(&headers, http_11)?;
    if headers.get_all(HOST).iter().count() != 1 {
        return Err(RequestError::Invalid(
            "request must have exactly one Host field",
        ));
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

/// Accepts only targets in origin form, without a fragment.
fn parse_target(target: &str) -> Result<String, RequestError> {
    let valid = target.starts_with('/') && target.bytes().all(|b| b.is_ascii_graphic());
    if valid && !target.contains('#') {
        Ok(target.to_owned())
    } else {
        Err(RequestError::Invalid(
            "request target must be an absolute path",
        ))
    }
}

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, RequestError> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| RequestError::Invalid("header name is not a valid token"))?;
        let value = HeaderValue::from_bytes(field.value)
            .map_err(|_| RequestError::Invalid("header value contains control characters"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn body_framing(headers: &HeaderMap, http_11: bool) -> Result<Framing, RequestError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let framing = match (lengths.next(), encodings.next()) {
        (None, None) => Framing::Length(0),
        (Some(length), None) => Framing::Length(parse_length(length.as_bytes())?),
        (None, Some(encoding))
            if http_11 && encoding.as_bytes().eq_ignore_ascii_case(b"chunked") =>
        {
            Framing::Chunked
        }
        (None, Some(_)) => return Err(RequestError::Invalid("unsupported Transfer-Encoding")),
        (Some(_), Some(_)) => {
            return Err(RequestError::Invalid(
                "request has both Content-Length and Transfer-Encoding",
            ));
        }
    };
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(framing),
        _ => Err(RequestError::Invalid(
            "Content-Length or Transfer-Encoding is repeated",
        )),
    }
}

/// Parses a Content-Length value. Only digits are accepted, as integer parsing alone allows a leading `+`.
fn parse_length(text: &[u8]) -> Result<u64, RequestError> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text)
        .ok()
        .filter(|_| digits)
        .and_then(|t| t.parse().ok())
        .ok_or(RequestError::Invalid(
            "Content-Length is not a valid number",
        ))
}

fn keep_alive(headers: &HeaderMap, http_11: bool) -> bool {
    let options = || connection_options(headers);
    if http_11 {
        !options().any(|t| t.eq_ignore_ascii_case("close"))
    } else {
        options().any(|t| t.eq_ignore_ascii_case("keep-alive"))
    }
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(str::trim))
}

/// Whether the field `name` of `headers` is forwarded to the next hop. Hop-by-hop fields, fields listed in
/// `Connection`, and those that frame the body are not.
#[must_use]
pub fn is_end_to_end(name: &HeaderName, headers: &HeaderMap) -> bool {
    let framing = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT].contains(name);
    let hop_by_hop = HOP_BY_HOP.contains(&name.as_str());
    let listed = connection_options(headers).any(|t| t.eq_ignore_ascii_case(name.as_str()));
    !framing && !hop_by_hop && !listed
}
