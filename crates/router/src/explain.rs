//! What the log lines of all instances say of one request.

use std::collections::BTreeMap;

/// One line, as the logs hold it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// The fields by name, with `time`, `level`, `instance` and `event`.
    pub fields: BTreeMap<String, String>,
}

impl Entry {
    /// Reads a line; none if it isn't one of ours. Text that a collector puts before it is left out.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let mut rest = line[start..].trim_end();
        let mut fields = BTreeMap::new();
        while let Some((name, after)) = rest.split_once('=') {
            let (value, after) = value(after)?;
            fields.insert(name.trim().to_owned(), value);
            rest = after;
        }
        fields.contains_key("event").then_some(Self { fields })
    }

    /// A field's value, or nothing.
    #[must_use]
    pub fn get(&self, field: &str) -> &str {
        self.fields.get(field).map_or("", String::as_str)
    }
}

/// A value and what comes after it.
fn value(text: &str) -> Option<(String, &str)> {
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

/// All that is known of one request.
#[derive(Clone, Debug, Default)]
pub struct Explanation {
    /// Its lines in order of time.
    pub entries: Vec<Entry>,
}

impl Explanation {
    /// Collects the lines of request `id`.
    #[must_use]
    pub fn collect<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Self {
        let parsed = lines.into_iter().filter_map(Entry::parse);
        let mut entries: Vec<Entry> = parsed.filter(|e| e.get("id") == id).collect();
        entries.sort_by(|a, b| a.get("time").cmp(b.get("time")));
        Self { entries }
    }

    /// Outcome and cause in words; none if there is no line that ends the request.
    #[must_use]
    pub fn summary(&self) -> Option<String> {
        let is_end = |e: &&Entry| matches!(e.get("event"), "request.end" | "request.refused");
        let end = self.entries.iter().rev().find(is_end)?;
        if end.get("event") == "request.refused" {
            return Some(format!(
                "refused before it had a route and an owner: {} (configuration {})",
                end.get("cause"),
                end.get("config")
            ));
        }
        let told = match end.get("outcome") {
            "answered" => format!("answered with status {}", end.get("status")),
            "refused" => format!("refused with status {}", end.get("status")),
            "cut" => "its answer had begun and was cut".to_owned(),
            "caller_gone" => "its caller left before the answer was whole".to_owned(),
            other => other.to_owned(),
        };
        let ran = match end.get("ran") {
            "" => String::new(),
            ran => format!("; did it run: {ran}"),
        };
        let cause = match end.get("cause") {
            "" => String::new(),
            cause => format!("; cause: {cause}"),
        };
        let events = match end.get("events").split_once("@-") {
            Some((n, ago)) => format!("; events passed on {n} times, last {ago} before"),
            None => String::new(),
        };
        Some(format!(
            "{told} after {} ms, {} ms of them waiting for a server{cause}{ran}{events}; {}",
            end.get("took_ms"),
            end.get("waited_ms"),
            sendings(end.get("attempts"))
        ))
    }
}

fn sendings(attempts: &str) -> String {
    if attempts.is_empty() {
        return "it was sent to no server".to_owned();
    }
    let sendings: Vec<String> = attempts
        .split(',')
        .map(|attempt| {
            let (place, became) = attempt.rsplit_once(':').unwrap_or((attempt, ""));
            let (server, at) = place.rsplit_once('@').unwrap_or((place, ""));
            format!("sent to {server} at {at}: {became}")
        })
        .collect();
    sendings.join("; ")
}
