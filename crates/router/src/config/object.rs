//! The configuration objects that operators declare, and the numbered changes to them.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// The priority level of a tier; 0 is the most important.
pub type Level = u8;

/// The position of a change in the change log, from 1; 0 stands for the empty configuration.
pub type ChangeNumber = u64;

/// A priority tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The name of the tier.
    pub name: SmolStr,
    /// The priority level, unique among tiers; 0 is the most important.
    pub level: Level,
}

/// A service class: the tier and the service-level targets of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class.
    pub name: SmolStr,
    /// The name of the class's tier.
    pub tier: SmolStr,
    /// Target for the time to first token, in ms; `None` for no target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// Target for the mean inter-token latency, in ms; `None` for no target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between_tokens_ms: Option<u64>,
    /// Target for the time to the complete response, in ms; `None` for no target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_ms: Option<u64>,
    /// Whether a request may safely be run more than once; `true` if absent.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Starvation bound: longest time for which the class may have queued requests without any of
    /// them being sent, in ms; 100 to 86,400,000.
    pub starvation_ms: u64,
    /// Maximum time for which a request is queued for a backend server, in ms; 100 to 86,400,000.
    pub wait_ms: u64,
}

impl Class {
    /// `starvation_ms` as a duration.
    #[must_use]
    pub const fn starvation_bound(&self) -> Duration {
        Duration::from_millis(self.starvation_ms)
    }

    /// `wait_ms` as a duration.
    #[must_use]
    pub const fn max_wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}

const fn yes() -> bool {
    true
}

/// A group of callers with its own bearer keys and fair share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: SmolStr,
    /// The SHA-256 hash of each bearer key, in hexadecimal; see [`key_hash`].
    pub key_hashes: Vec<SmolStr>,
    /// Weight in fair queueing against other organisations of the same tier; 1 to 1,000, 1 if
    /// absent.
    #[serde(default = "one")]
    pub share: u32,
    /// The names of the classes that the organisation may use; 1 to 1,000 of them.
    pub classes: Vec<SmolStr>,
    /// The class of requests that don't name one; the first of `classes` if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_class: Option<SmolStr>,
}

const fn one() -> u32 {
    1
}

/// A server that runs requests, either for a model or for a generic service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The name of the server.
    pub name: SmolStr,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The model that the server runs; exactly one of `model` and `service` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<SmolStr>,
    /// The generic service that the server provides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SmolStr>,
    /// The data centre of the server.
    pub data_centre: SmolStr,
    /// Maximum number of concurrent requests; 1 to 4,096.
    pub slots: u32,
    /// Whether the server rejects outdated fencing tokens.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the server is leaving and receives no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// The version of the server's software, if the adapter that found the server knows it: a stream that one
    /// version began goes on only at that version. Not part of declarations.
    #[serde(skip)]
    pub version: Option<SmolStr>,
    /// Whether the platform may take the server back at short notice. Not part of declarations.
    #[serde(skip)]
    pub spot: bool,
}

impl BackendServer {
    /// The name of the server's pool; empty if neither `model` nor `service` is set.
    #[must_use]
    pub fn pool(&self) -> SmolStr {
        match (&self.model, &self.service) {
            (Some(model), _) => model_pool(model),
            (None, Some(service)) => service_pool(service),
            (None, None) => SmolStr::default(),
        }
    }
}

/// The name of the pool of backend servers for a model.
#[must_use]
pub fn model_pool(model: &str) -> SmolStr {
    smol_str::format_smolstr!("model/{model}")
}

/// The name of the pool of backend servers for a generic service.
#[must_use]
pub fn service_pool(service: &str) -> SmolStr {
    smol_str::format_smolstr!("service/{service}")
}

/// A declared configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A tier.
    Tier(Tier),
    /// A class.
    Class(Class),
    /// An organisation.
    Organisation(Organisation),
    /// A backend server.
    BackendServer(BackendServer),
}

/// The kind of a declared object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A tier.
    Tier,
    /// A class.
    Class,
    /// An organisation.
    Organisation,
    /// A backend server.
    BackendServer,
}

impl ObjectKind {
    /// The name of the kind in declaration files, responses to operators and the audit log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Tier => "tier",
            Self::Class => "class",
            Self::Organisation => "organisation",
            Self::BackendServer => "backend_server",
        }
    }
}

/// The key of an object, unique in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind of the object.
    #[serde(rename = "sort")]
    pub kind: ObjectKind,
    /// The name of the object, unique among objects of its kind.
    pub name: SmolStr,
}

impl std::fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl Object {
    /// The key of the object.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Tier(o) => (ObjectKind::Tier, &o.name),
            Self::Class(o) => (ObjectKind::Class, &o.name),
            Self::Organisation(o) => (ObjectKind::Organisation, &o.name),
            Self::BackendServer(o) => (ObjectKind::BackendServer, &o.name),
        };
        ObjectKey {
            kind,
            name: name.clone(),
        }
    }
}

/// One edit of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Create or replace an object.
    Put(Object),
    /// Delete an object; without effect if there is none.
    Delete(ObjectKey),
}

impl Edit {
    /// The key of the edited object.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put(object) => object.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// One numbered change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The position of the change in the log.
    pub number: ChangeNumber,
    /// The change's own identifier, chosen by the client that proposed it; it makes proposals
    /// idempotent.
    pub id: SmolStr,
    /// The name of the operator.
    pub operator: SmolStr,
    /// When the change was accepted, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The edits, applied in order.
    pub edits: Vec<Edit>,
    /// The object of each edit before the change; `None` if it didn't exist. Empty in changes that
    /// don't record it.
    #[serde(default)]
    pub before: Vec<Option<Object>>,
}

/// The content of a declaration file.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// The `[[tier]]` tables.
    #[serde(default)]
    pub tier: Vec<Tier>,
    /// The `[[class]]` tables.
    #[serde(default)]
    pub class: Vec<Class>,
    /// The `[[organisation]]` tables.
    #[serde(default)]
    pub organisation: Vec<Organisation>,
    /// The `[[backend_server]]` tables.
    #[serde(default)]
    pub backend_server: Vec<BackendServer>,
}

impl Declarations {
    /// Parses a declaration file in TOML format.
    ///
    /// # Errors
    /// The position and the reason in one line.
    pub fn parse(text: &str) -> Result<Self, String> {
        toml::from_str(text).map_err(|e| {
            e.to_string()
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" ")
        })
    }

    /// All objects of the file: tiers, classes, organisations, then backend servers.
    #[must_use]
    pub fn objects(self) -> Vec<Object> {
        let tiers = self.tier.into_iter().map(Object::Tier);
        let classes = self.class.into_iter().map(Object::Class);
        let organisations = self.organisation.into_iter().map(Object::Organisation);
        let servers = self.backend_server.into_iter().map(Object::BackendServer);
        tiers
            .chain(classes)
            .chain(organisations)
            .chain(servers)
            .collect()
    }
}

/// The hash under which a bearer key or an operator's token is stored: SHA-256 in lower-case
/// hexadecimal.
#[must_use]
pub fn key_hash(key: &str) -> SmolStr {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
