//! Shows what the log lines on standard input say of one request.

use std::io::{self, Read};
use std::process::ExitCode;

use jackdawtally::explain::{Entry, Explanation};

use crate::cli::{self, Explain};

/// Fields that have a column of their own, or say the same in each line.
const COLUMNS: [&str; 5] = ["time", "level", "instance", "event", "id"];

/// Reads the lines and prints what they say.
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
            rest(entry)
        );
    }
    match (explanation.summary(), explanation.entries.len()) {
        (Some(verdict), _) => println!("{verdict}"),
        (None, 0) => println!("no line has this id"),
        (None, _) => println!("no line ends this request: it was under way when the lines end"),
    }
}

fn rest(entry: &Entry) -> String {
    let fields = entry.fields.iter();
    let others = fields.filter(|(name, _)| !COLUMNS.contains(&name.as_str()));
    let texts: Vec<String> = others.map(|(n, v)| format!("{n}={v}")).collect();
    texts.join(" ")
}
