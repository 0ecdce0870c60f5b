//! The delay in a response that refuses a request.

use std::time::Duration;

use http::HeaderMap;
use http::header::RETRY_AFTER;

/// What a response says of the time for which its sender wants no more requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestStatement {
    /// Nothing.
    Unstated,
    /// It wants none for so long.
    Rest(Duration),
    /// It states a time that isn't a number of seconds.
    Unreadable,
}

/// Reads the delay, in seconds with fractions. Of several the longest counts. A date isn't read, as clocks differ.
#[must_use]
pub fn parse(headers: &HeaderMap) -> RestStatement {
    let mut longest = RestStatement::Unstated;
    for value in headers.get_all(RETRY_AFTER) {
        let text = value.to_str().unwrap_or_default().trim();
        let seconds: f64 = text.parse().unwrap_or(f64::NAN);
        if seconds.is_nan() || seconds < 0.0 {
            return RestStatement::Unreadable;
        }
        let delay = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        longest = match longest {
            RestStatement::Rest(other) if other > delay => longest,
            _ => RestStatement::Rest(delay),
        };
    }
    longest
}
