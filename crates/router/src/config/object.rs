//! The objects that operators declare, and the numbered changes made of them.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// A tier's rank; 0 is the most important.
pub type Level = u8;

/// The number of a change; change 1 is the first.
pub type Number = u64;

/// A rank among tiers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The tier's name.
    pub name: SmolStr,
    /// The rank; 0 is the most important.
    pub level: Level,
}

/// A kind of request with one latency target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name.
    pub name: SmolStr,
    /// The tier's name.
    pub tier: SmolStr,
    /// Target for the first token, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// Target for the mean gap between tokens, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between_tokens_ms: Option<u64>,
    /// Target for the whole answer, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_ms: Option<u64>,
    /// Whether a request may be run again.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Bound within which a waiting class makes progress, in ms.
    pub starvation_ms: u64,
    /// Longest time that a request waits for a backend server, in ms.
    pub wait_ms: u64,
}

impl Class {
    /// Bound within which the class makes progress while it has waiting work.
    #[must_use]
    pub const fn starvation(&self) -> Duration {
        Duration::from_millis(self.starvation_ms)
    }

    /// Longest time that a request waits.
    #[must_use]
    pub const fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}

const fn yes() -> bool {
    true
}

/// A group of callers with keys and a share of their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: SmolStr,
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_hashes: Vec<SmolStr>,
    /// Weight against other organisations within a tier; 1 to 1,000.
    #[serde(default = "one")]
    pub share: u32,
    /// Classes that the organisation may use.
    pub classes: Vec<SmolStr>,
    /// The class of a request that names none; the first of `classes` where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_class: Option<SmolStr>,
}

const fn one() -> u32 {
    1
}

/// A server that runs requests: a model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The server's name.
    pub name: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model it serves, if it is an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<SmolStr>,
    /// The plain service it serves, if it isn't.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SmolStr>,
    /// The data centre it stands in.
    pub data_centre: SmolStr,
    /// Requests that it runs at a time; 1 to 4,096.
    pub slots: u32,
    /// Whether it refuses old fencing numbers.
    #[serde(default)]
    pub fencing: bool,
    /// Whether it is leaving and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl BackendServer {
    /// The name of the pool that the server belongs to.
    #[must_use]
    pub fn pool(&self) -> SmolStr {
        match (&self.model, &self.service) {
            (Some(model), _) => model_pool(model),
            (None, Some(service)) => service_pool(service),
            (None, None) => SmolStr::default(),
        }
    }
}

/// The pool of a model's engines.
#[must_use]
pub fn model_pool(model: &str) -> SmolStr {
    smol_str::format_smolstr!("model/{model}")
}

/// The pool of a plain service's servers.
#[must_use]
pub fn service_pool(service: &str) -> SmolStr {
    smol_str::format_smolstr!("service/{service}")
}

/// One declared object.
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

/// What an object is, without its content.
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
    /// The word used in files, answers and the audit trail.
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

/// The identity of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// What it is.
    #[serde(rename = "sort")]
    pub kind: ObjectKind,
    /// Its name.
    pub name: SmolStr,
}

impl std::fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl Object {
    /// The object's identity.
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

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Creates or replaces an object.
    Put(Object),
    /// Removes an object.
    Delete(ObjectKey),
}

impl Edit {
    /// The identity of the object that the step concerns.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put(object) => object.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// One numbered change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The change's place in the log.
    pub number: Number,
    /// The change's own identity, chosen by whoever asked for it.
    pub id: SmolStr,
    /// The operator's name.
    pub operator: SmolStr,
    /// When it was accepted, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The steps.
    pub edits: Vec<Edit>,
    /// What each step's object was before.
    #[serde(default)]
    pub before: Vec<Option<Object>>,
}

/// A file of declarations.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// `[[tier]]` tables.
    #[serde(default)]
    pub tier: Vec<Tier>,
    /// `[[class]]` tables.
    #[serde(default)]
    pub class: Vec<Class>,
    /// `[[organisation]]` tables.
    #[serde(default)]
    pub organisation: Vec<Organisation>,
    /// `[[backend_server]]` tables.
    #[serde(default)]
    pub backend_server: Vec<BackendServer>,
}

impl Declarations {
    /// Reads a file of declarations.
    ///
    /// # Errors
    /// One line with the place and the reason.
    pub fn parse(text: &str) -> Result<Self, String> {
        toml::from_str(text).map_err(|e| {
            e.to_string()
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" ")
        })
    }

    /// All objects of the file.
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

/// The hash under which a bearer key or an operator's token is kept: SHA-256 in hexadecimal.
#[must_use]
pub fn key_hash(key: &str) -> SmolStr {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
