//! One crash of a server, with what may have caused it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::notice::{Notice, Suspect};
use super::{PromptId, SuspectId, millis};

/// Two reports of a crash of one server within this time are about the same crash.
const SAME_CRASH: Duration = Duration::from_millis(800);
/// Maximum number of suspects of one crash.
pub(super) const MAX_SUSPECTS: usize = 64;
/// Maximum number of prompts that are told apart for each suspect of one crash.
const MAX_PROMPTS: usize = 8;

/// What may have caused a crash, each with the prompts that were open.
pub(super) type Suspects = BTreeMap<SuspectId, BTreeSet<PromptId>>;

#[derive(Debug)]
pub(super) struct Crash {
    pub(super) server: SmolStr,
    pub(super) at: Instant,
    /// When this instance learned of it.
    pub(super) noted: Instant,
    pub(super) suspects: Suspects,
    pub(super) refuted: bool,
    /// Whether a suspect in quarantine is its cause.
    pub(super) explained: bool,
}

impl Crash {
    pub(super) fn is_same(&self, server: &str, at: Instant) -> bool {
        self.server == server && is_same_time(self.at, at)
    }

    /// Adds suspects, and returns those that are new.
    pub(super) fn add_suspects(&mut self, suspects: Suspects) -> Suspects {
        let mut added: Suspects = BTreeMap::new();
        for (id, prompts) in suspects {
            if !self.suspects.contains_key(&id) && self.suspects.len() >= MAX_SUSPECTS {
                continue;
            }
            let known = self.suspects.entry(id).or_default();
            for prompt in prompts {
                if known.len() < MAX_PROMPTS && known.insert(prompt) {
                    added.entry(id).or_default().insert(prompt);
                }
            }
        }
        added
    }

    pub(super) fn notice(&self, suspects: &Suspects, now: Instant) -> Notice {
        let suspects = suspects.iter().map(|(id, prompts)| Suspect {
            id: *id,
            prompts: prompts.iter().copied().collect(),
        });
        Notice::Crash {
            server: self.server.clone(),
            age_ms: millis(now.saturating_duration_since(self.at)),
            suspects: suspects.collect(),
        }
    }
}

/// Whether two reports of these times about one server are about the same crash.
pub(super) fn is_same_time(a: Instant, b: Instant) -> bool {
    a.max(b) - a.min(b) < SAME_CRASH
}
