//! Reconstructs the history of a request from the log lines of all instances.

use std::collections::BTreeMap;

/// A parsed log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Values by field name, including `time`, `level`, `instance` and `event`.
    pub fields: BTreeMap<String, String>,
}

impl Entry {
    /// Parses a line; `None` if it isn't a log line of an event. Text that a log collector puts before `time=`
    /// is ignored.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let mut rest = line[start..].trim_end();
        let mut fields = BTreeMap::new();
        while let Some((name, after)) = rest.split_once('=') {
            let (value, after) = split_value(after)?;
            fields.insert(name.trim().to_owned(), value);
            rest = after;
        }
        fields.contains_key("event").then_some(Self { fields })
    }

    /// Value of a field; empty if the line doesn't have it.
    #[must_use]
    pub fn get(&self, field: &str) -> &str {
        self.fields.get(field).map_or("", String::as_str)
    }
}

/// Splits a value, quoted or not, from the text after it. Returns `None` if a closing quote is missing.
fn split_value(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
        return Some((value.to_owned(), rest));
    };
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, quoted[at + 1..].trim_start())),
            '\\' => value.push(characters.next()?.1),
            character => value.push(character),
        }
    }
    None
}

/// The log lines of one request.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// Lines ordered by time.
    pub entries: Vec<Entry>,
}

impl Explanation {
    /// Collects the lines of the request `id`.
    #[must_use]
    pub fn collect<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Self {
        let parsed = lines.into_iter().filter_map(Entry::parse);
        let mut entries: Vec<Entry> = parsed.filter(|e| e.get("id") == id).collect();
        entries.sort_by(|a, b| a.get("time").cmp(b.get("time")));
        Self { entries }
    }

    /// Describes outcome and cause in a sentence; `None` if no line records the end of the request.
    #[must_use]
    pub fn summary(&self) -> Option<String> {
        let is_end = |e: &&Entry| matches!(e.get("event"), "request.end" | "request.refused");
        let end = self.entries.iter().rev().find(is_end)?;
        if end.get("event") == "request.refused" {
            return Some(format!(
                "rejected before its route and organisation were determined: {} (configuration {})",
                end.get("cause"),
                end.get("config")
            ));
        }
        let outcome = match end.get("outcome") {
            "answered" => format!("answered with status {}", end.get("status")),
            "refused" => format!("rejected with status {}", end.get("status")),
            "cut" => "response cut off after it had begun".to_owned(),
            "caller_gone" => "caller disconnected before the response was complete".to_owned(),
            other => other.to_owned(),
        };
        let ran = match end.get("ran") {
            "" => String::new(),
            ran => format!("; executed: {ran}"),
        };
        let cause = match end.get("cause") {
            "" => String::new(),
            cause => format!("; cause: {cause}"),
        };
        let events = match end.get("events").split_once("@-") {
            Some((n, ago)) => {
                format!("; {n} events sent to the caller, the last {ago} before the end")
            }
            None => String::new(),
        };
        Some(format!(
            "{outcome} after {} ms, of which {} ms waiting for a backend server{cause}{ran}{events}; {}",
            end.get("took_ms"),
            end.get("waited_ms"),
            describe_attempts(end.get("attempts"))
        ))
    }
}

/// Describes a list of attempts of the form `SERVER@OFFSET:RESULT,...`.
fn describe_attempts(attempts: &str) -> String {
    if attempts.is_empty() {
        return "not sent to any backend server".to_owned();
    }
    let descriptions: Vec<String> = attempts
        .split(',')
        .map(|attempt| {
            let (place, result) = attempt.rsplit_once(':').unwrap_or((attempt, ""));
            let (server, at) = place.rsplit_once('@').unwrap_or((place, ""));
            format!("sent to {server} at {at}: {result}")
        })
        .collect();
    descriptions.join("; ")
}
