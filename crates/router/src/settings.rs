//! Settings of an instance, read from a TOML file.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::fleet::duties::DutySettings;

/// Failure to load a settings file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// The file is not valid TOML, or has an unknown or missing key or a value of the wrong type.
    #[error("{file}: {message}")]
    Malformed {
        /// Name of the file.
        file: String,
        /// Position, key and reason, on one line.
        message: String,
    },
    /// A value is outside its allowed range.
    #[error("{file}: {key} = {value} is outside the allowed range {range}")]
    Range {
        /// Name of the file.
        file: String,
        /// The key with its table, such as `limits.body_bytes`.
        key: &'static str,
        /// The value in the file.
        value: String,
        /// The allowed range, both ends included.
        range: String,
    },
}

/// All settings of an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique among all instances; 1 to 64 bytes.
    pub instance: SmolStr,
    /// Data centre in which the instance runs; 1 to 64 bytes.
    pub data_centre: SmolStr,
    /// HTTP listener for callers.
    pub callers: Callers,
    /// gRPC listener for operators.
    pub operators: Operators,
    /// Links to the other instances.
    pub peers: Peers,
    /// Connection to the platform's object service.
    pub platform: Platform,
    /// Resource limits and timeouts.
    #[serde(default)]
    pub limits: Limits,
    /// Export of counters.
    #[serde(default)]
    pub metrics: Metrics,
    /// Calls to the platform that one instance makes for all; not in the file.
    #[serde(skip)]
    pub duties: Option<DutySettings>,
}

/// HTTP listener for callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on; with port 0, the operating system chooses a free port.
    pub listen: SocketAddr,
}

/// gRPC listener for operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Address to listen on; with port 0, the operating system chooses a free port.
    pub listen: SocketAddr,
    /// SHA-256 hash of each operator's token, as 64 hexadecimal digits, by name of the operator.
    pub token_hashes: std::collections::BTreeMap<SmolStr, SmolStr>,
}

/// Links between instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on; with port 0, the operating system chooses a free port.
    pub listen: SocketAddr,
    /// Address that peers connect to, if it differs from the listening address.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Shared secret of all instances; 16 to 256 bytes.
    pub fleet_key: String,
    /// Addresses of peers to connect to before the platform's instance list has been read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Connection to the platform's object service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the service.
    pub address: SocketAddr,
    /// Timeout of one call; 50 to 60,000 ms.
    #[serde(default = "platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Resource limits and timeouts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of the head of a request; 8,192 to 1,048,576 bytes.
    pub header_bytes: usize,
    /// Maximum size of the body of a request; 1,024 to 67,108,864 bytes.
    pub body_bytes: usize,
    /// Timeout for the head of a request, which also bounds the idle time between requests; 100 to 600,000 ms.
    pub header_timeout_ms: u64,
    /// Timeout for the body of a request; 100 to 600,000 ms.
    pub body_timeout_ms: u64,
    /// Timeout of writes to a caller that doesn't read its response; 100 to 600,000 ms.
    pub write_timeout_ms: u64,
    /// Maximum number of concurrent connections of callers; 1 to 100,000.
    pub connections: usize,
    /// Maximum memory of the requests queued in one pool, in bytes; 65,536 to 1,073,741,824.
    pub queue_bytes: usize,
    /// Maximum number of requests that the instance may have at one backend server before their first token; 1
    /// to 64.
    pub unstarted: usize,
    /// Whether requests with known prompts are refused while the backend servers have too little room for them.
    pub room: bool,
    /// Age up to which an idempotency key can be claimed; 10,000 to 3,600,000 ms.
    pub claim_window_ms: u64,
    /// Maximum duration of a drain; 0 to 86,400,000 ms, where 0 means to wait for all requests.
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
            room: false,
            claim_window_ms: 120_000,
            drain_ms: 0,
        }
    }
}

/// Export of counters.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd server; without one, counters are not exported.
    pub statsd: Option<SocketAddr>,
}

const fn platform_timeout_ms() -> u64 {
    2_000
}

/// I/O error while reading a settings file.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {source}")]
pub struct Unreadable {
    file: String,
    source: std::io::Error,
}

/// Reads the text of a settings file.
///
/// # Errors
/// If the file can't be read or isn't UTF-8.
pub fn read_file(path: &Path) -> Result<String, Unreadable> {
    std::fs::read_to_string(path).map_err(|source| Unreadable {
        file: path.display().to_string(),
        source,
    })
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file can't be read, is not valid TOML, has an unknown key, or has a value outside its range.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = read_file(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates the text of a settings file. `file` is the name to use in errors.
    ///
    /// # Errors
    /// If the text is not valid TOML, has an unknown key, or has a value outside its range.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let settings: Self = toml::from_str(text).map_err(|e| Error::Malformed {
            file: file.to_owned(),
            message: e
                .to_string()
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" "),
        })?;
        settings.validate(file)?;
        Ok(settings)
    }

    fn validate(&self, file: &str) -> Result<(), Error> {
        let limits = &self.limits;
        check_range(file, "instance (length)", self.instance.len(), 1, 64)?;
        check_range(file, "data_centre (length)", self.data_centre.len(), 1, 64)?;
        check_range(
            file,
            "peers.fleet_key (length)",
            self.peers.fleet_key.len(),
            16,
            256,
        )?;
        check_range(
            file,
            "platform.timeout_ms",
            self.platform.timeout_ms,
            50,
            60_000,
        )?;
        check_range(
            file,
            "limits.header_bytes",
            limits.header_bytes,
            8_192,
            1 << 20,
        )?;
        check_range(
            file,
            "limits.body_bytes",
            limits.body_bytes,
            1_024,
            64 << 20,
        )?;
        check_range(
            file,
            "limits.header_timeout_ms",
            limits.header_timeout_ms,
            100,
            600_000,
        )?;
        check_range(
            file,
            "limits.body_timeout_ms",
            limits.body_timeout_ms,
            100,
            600_000,
        )?;
        check_range(
            file,
            "limits.write_timeout_ms",
            limits.write_timeout_ms,
            100,
            600_000,
        )?;
        check_range(file, "limits.connections", limits.connections, 1, 100_000)?;
        check_range(
            file,
            "limits.queue_bytes",
            limits.queue_bytes,
            65_536,
            1 << 30,
        )?;
        check_range(file, "limits.unstarted", limits.unstarted, 1, 64)?;
        check_range(
            file,
            "limits.claim_window_ms",
            limits.claim_window_ms,
            10_000,
            3_600_000,
        )?;
        check_range(file, "limits.drain_ms", limits.drain_ms, 0, 86_400_000)?;
        self.operators
            .token_hashes
            .values()
            .try_for_each(|h| check_range(file, "operators.token_hashes (length)", h.len(), 64, 64))
    }
}

impl Platform {
    /// Timeout of one call.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn check_range<T: PartialOrd + Display + Copy>(
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
    fn valid_settings_are_accepted() {
        let settings = Settings::parse("f.toml", &text("")).expect("valid");

        assert_eq!(settings.limits.unstarted, 1);
        assert!(!settings.limits.room);
    }

    #[test]
    fn error_names_an_unknown_key() {
        let error = Settings::parse("f.toml", &text("colour = 1")).expect_err("the key is unknown");

        assert!(error.to_string().contains("colour"), "{error}");
    }

    #[test]
    fn error_states_key_value_and_allowed_range() {
        let text = text("") + "[limits]\nheader_bytes = 5\n";

        let error = Settings::parse("f.toml", &text).expect_err("the value is out of range");

        assert_eq!(
            error.to_string(),
            "f.toml: limits.header_bytes = 5 is outside the allowed range 8192 to 1048576"
        );
    }
}
