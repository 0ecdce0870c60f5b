//! The settings of one instance, read from a TOML file.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

/// A settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// The file isn't TOML, or has an unknown key or a value of the wrong type.
    #[error("{file}: {message}")]
    Malformed {
        /// The file's name.
        file: String,
        /// Line, key and reason, on one line.
        message: String,
    },
    /// A value is outside its range.
    #[error("{file}: {key} = {value} is outside the allowed range {range}")]
    Range {
        /// The file's name.
        file: String,
        /// The key, with its table.
        key: &'static str,
        /// The value found.
        value: String,
        /// The range allowed.
        range: String,
    },
}

/// All settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name, unique in the fleet; 1 to 64 characters.
    pub instance: SmolStr,
    /// The data centre that the instance stands in.
    pub data_centre: SmolStr,
    /// Where callers connect.
    pub callers: Callers,
    /// Where operators connect.
    pub operators: Operators,
    /// Where the other instances connect.
    pub peers: Peers,
    /// The platform's service.
    pub platform: Platform,
    /// Bounds on what callers may use.
    #[serde(default)]
    pub limits: Limits,
    /// Where counters go.
    #[serde(default)]
    pub metrics: Metrics,
}

/// The callers' HTTP listener.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
}

/// The operators' gRPC listener.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// SHA-256 of each operator's token, in hexadecimal, by the operator's name.
    pub token_hashes: std::collections::BTreeMap<SmolStr, SmolStr>,
}

/// The links between instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address that peers connect to, where it isn't the one listened on.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The secret that all instances share; 16 to 256 characters.
    pub fleet_key: String,
    /// Peer addresses to try before the platform's list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's object service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The service's address.
    pub address: SocketAddr,
    /// Bound on one call; 50 to 60,000 ms.
    #[serde(default = "platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Bounds on what callers may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest head of a request; 8,192 to 1,048,576 bytes.
    pub header_bytes: usize,
    /// Largest body of a request; 1,024 to 67,108,864 bytes.
    pub body_bytes: usize,
    /// Time for a request's head to arrive, and idle time between requests; 100 to 600,000 ms.
    pub header_timeout_ms: u64,
    /// Time for a request's body to arrive; 100 to 600,000 ms.
    pub body_timeout_ms: u64,
    /// Time that a caller may stop reading its answer; 100 to 600,000 ms.
    pub write_timeout_ms: u64,
    /// Connections at a time; 1 to 100,000.
    pub connections: usize,
    /// Bytes of requests waiting in one pool; 65,536 to 1,073,741,824.
    pub queue_bytes: usize,
    /// Requests that an instance may have unstarted at one backend server; 1 to 64.
    pub unstarted: usize,
    /// Window in which an idempotency key can be claimed; 10,000 to 3,600,000 ms.
    pub claim_window_ms: u64,
    /// Upper bound on a drain; 0 lets every request finish.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
            write_timeout_ms: 15_000,
            connections: 4_096,
            queue_bytes: 8 << 20,
            unstarted: 1,
            claim_window_ms: 120_000,
            drain_ms: 0,
        }
    }
}

/// Where counters go.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd server; counters are dropped where there is none.
    pub statsd: Option<SocketAddr>,
}

const fn platform_timeout_ms() -> u64 {
    2_000
}

/// A settings file that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {source}")]
pub struct Unreadable {
    file: String,
    source: std::io::Error,
}

/// The text of a settings file.
///
/// # Errors
/// When the file can't be read.
pub fn read_file(path: &Path) -> Result<String, Unreadable> {
    std::fs::read_to_string(path).map_err(|source| Unreadable {
        file: path.display().to_string(),
        source,
    })
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When the file can't be read, isn't TOML, has an unknown key, or has a value outside its range.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = read_file(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Checks the text of a settings file; `file` is named in errors.
    ///
    /// # Errors
    /// When the text isn't TOML, has an unknown key, or has a value outside its range.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let settings: Self = toml::from_str(text).map_err(|e| Error::Malformed {
            file: file.to_owned(),
            message: e
                .to_string()
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" "),
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), Error> {
        let limits = &self.limits;
        range(file, "instance (length)", self.instance.len(), 1, 64)?;
        range(file, "data_centre (length)", self.data_centre.len(), 1, 64)?;
        range(
            file,
            "peers.fleet_key (length)",
            self.peers.fleet_key.len(),
            16,
            256,
        )?;
        range(
            file,
            "platform.timeout_ms",
            self.platform.timeout_ms,
            50,
            60_000,
        )?;
        range(
            file,
            "limits.header_bytes",
            limits.header_bytes,
            8_192,
            1 << 20,
        )?;
        range(
            file,
            "limits.body_bytes",
            limits.body_bytes,
            1_024,
            64 << 20,
        )?;
        range(
            file,
            "limits.header_timeout_ms",
            limits.header_timeout_ms,
            100,
            600_000,
        )?;
        range(
            file,
            "limits.body_timeout_ms",
            limits.body_timeout_ms,
            100,
            600_000,
        )?;
        range(
            file,
            "limits.write_timeout_ms",
            limits.write_timeout_ms,
            100,
            600_000,
        )?;
        range(file, "limits.connections", limits.connections, 1, 100_000)?;
        range(
            file,
            "limits.queue_bytes",
            limits.queue_bytes,
            65_536,
            1 << 30,
        )?;
        range(file, "limits.unstarted", limits.unstarted, 1, 64)?;
        range(
            file,
            "limits.claim_window_ms",
            limits.claim_window_ms,
            10_000,
            3_600_000,
        )?;
        range(file, "limits.drain_ms", limits.drain_ms, 0, 86_400_000)?;
        self.operators
            .token_hashes
            .values()
            .try_for_each(|h| range(file, "operators.token_hashes (length)", h.len(), 64, 64))
    }
}

impl Platform {
    /// Bound on one call.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn range<T: PartialOrd + Display + Copy>(
    file: &str,
    key: &'static str,
    value: T,
    min: T,
    max: T,
) -> Result<(), Error> {
    if value < min || value > max {
        return Err(Error::Range {
            file: file.to_owned(),
            key,
            value: value.to_string(),
            range: format!("{min} to {max}"),
        });
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(extra: &str) -> String {
        format!(
            "instance = \"a\"\ndata_centre = \"north\"\n{extra}\n\
             [callers]\nlisten = \"127.0.0.1:0\"\n\
             [operators]\nlisten = \"127.0.0.1:0\"\ntoken_hashes = {{}}\n\
             [peers]\nlisten = \"127.0.0.1:0\"\nfleet_key = \"0123456789abcdef\"\n\
             [platform]\naddress = \"127.0.0.1:1\"\n"
        )
    }

    #[test]
    fn complete_settings_are_accepted() {
        let settings = Settings::parse("f.toml", &text("")).expect("valid");

        assert_eq!(settings.limits.unstarted, 1);
    }

    #[test]
    fn unknown_key_is_named() {
        let error = Settings::parse("f.toml", &text("colour = 1")).expect_err("unknown key");

        assert!(error.to_string().contains("colour"), "{error}");
    }

    #[test]
    fn value_outside_its_range_is_named_with_the_range() {
        let text = text("") + "[limits]\nheader_bytes = 5\n";

        let error = Settings::parse("f.toml", &text).expect_err("out of range");

        assert_eq!(
            error.to_string(),
            "f.toml: limits.header_bytes = 5 is outside the allowed range 8192 to 1048576"
        );
    }
}
