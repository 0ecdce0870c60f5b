//! What may crash servers, and what is known of it.

use std::time::Duration;

use tokio::time::Instant;

/// Identifies what may crash servers: the content of a prompt segment, or a request.
pub type SuspectId = u64;
/// Identifies a prompt by its last segment, which is its own.
pub type PromptId = u64;

/// What is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// Segments that prompts have in common.
    Segments,
    /// Requests that come again.
    Requests,
}

impl Subject {
    /// The name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Segments => "segments",
            Self::Requests => "requests",
        }
    }
}

/// The identity of a request, as far as it may crash a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestIdentity {
    /// The segments that other prompts may have in common with it.
    pub shared: Vec<SuspectId>,
    /// Tells its prompt apart from others.
    pub prompt: PromptId,
    /// What it has in common with its repeats only; `None` if that isn't known.
    pub request: Option<SuspectId>,
}

impl RequestIdentity {
    /// What of it can be suspected.
    #[must_use]
    pub const fn suspects(&self, subject: Subject) -> &[SuspectId] {
        match subject {
            Subject::Segments => self.shared.as_slice(),
            Subject::Requests => self.request.as_slice(),
        }
    }

    /// Whether nothing of it can be suspected.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        self.shared.is_empty() && self.request.is_none()
    }
}

/// A suspect in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// What it is.
    pub subject: Subject,
    /// Identifies it.
    pub id: SuspectId,
    /// The number of crashes on which this is based.
    pub crashes: u32,
    /// Time since it was put into quarantine.
    pub age: Duration,
}

/// A suspect that is to be tried with care.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// What it is.
    pub subject: Subject,
    /// Identifies it.
    pub id: SuspectId,
    /// The number of crashes that it may have caused.
    pub crashes: usize,
    /// When this instance learned of the last of them; `None` if the suspect is tried again after its quarantine.
    pub last: Option<Instant>,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Unsuspected,
    /// Servers crashed under requests with this suspect.
    Suspected(Suspicion),
    /// Its suspect is in quarantine.
    Quarantined(Quarantined),
}
