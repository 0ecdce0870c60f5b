//! `explain`: shows the course of one request, from the log lines of all instances on standard input.

use std::io::{self, Read};
use std::process::ExitCode;

use jackdawtally::explain::{Entry, Explanation};

use crate::cli::{self, Explain};

/// Fields left out of the last column: they are printed in columns of their own, or are the same in
/// each line.
const EXCLUDED_FIELDS: [&str; 5] = ["time", "level", "instance", "event", "id"];

/// Prints the request's log lines in order of time, followed by a summary; the exit code is
/// [`cli::REFUSED`] if no line has the id.
pub fn run(options: &Explain) -> ExitCode {
    let mut bytes = Vec::new();
    if let Err(error) = io::stdin().read_to_end(&mut bytes) {
        return cli::fail(&format!("can't read standard input: {error}"));
    }
    let text = String::from_utf8_lossy(&bytes);
    let explanation = Explanation::collect(&options.id, text.lines());
    if options.json {
        println!("{}", json(options, &explanation));
    } else {
        print(&explanation);
    }
    if explanation.entries.is_empty() {
        ExitCode::from(cli::REFUSED)
    } else {
        ExitCode::SUCCESS
    }
}

fn json(options: &Explain, explanation: &Explanation) -> serde_json::Value {
    let lines: Vec<_> = explanation.entries.iter().map(|e| &e.fields).collect();
    serde_json::json!({"id": options.id, "verdict": explanation.summary(), "lines": lines})
}

fn print(explanation: &Explanation) {
    for entry in &explanation.entries {
        println!(
            "{:<25} {:<24} {:<16} {}",
            entry.get("time"),
            entry.get("instance"),
            entry.get("event"),
            other_fields(entry)
        );
    }
    match (explanation.summary(), explanation.entries.len()) {
        (Some(verdict), _) => println!("{verdict}"),
        (None, 0) => println!("no log line has this request id"),
        (None, _) => println!(
            "no log line records the end of this request; it was in progress at the last line"
        ),
    }
}

fn other_fields(entry: &Entry) -> String {
    let fields = entry.fields.iter();
    let fields = fields.filter(|(name, _)| !EXCLUDED_FIELDS.contains(&name.as_str()));
    let texts: Vec<String> = fields.map(|(n, v)| format!("{n}={v}")).collect();
    texts.join(" ")
}
