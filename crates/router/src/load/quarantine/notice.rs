//! What instances tell each other of crashes and their suspects.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{PromptId, SuspectId};

/// What may have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Identifies it.
    #[serde(rename = "s")]
    pub id: SuspectId,
    /// The prompts with it whose responses had not gone past their beginning.
    #[serde(rename = "p")]
    pub prompts: Vec<PromptId>,
}

/// What instances tell each other of crashes and their suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A server crashed.
    #[serde(rename = "c")]
    Crash {
        /// The server's name.
        #[serde(rename = "n")]
        server: SmolStr,
        /// Time since the crash, in ms.
        #[serde(rename = "a")]
        age_ms: u32,
        /// What may be the cause.
        #[serde(rename = "s")]
        suspects: Vec<Suspect>,
    },
    /// A server that was reported to have crashed responds.
    #[serde(rename = "r")]
    Refutation {
        /// The server's name.
        #[serde(rename = "n")]
        server: SmolStr,
        /// Time since the reported crash, in ms.
        #[serde(rename = "a")]
        age_ms: u32,
    },
    /// Responses to requests with these suspects went on past their beginning.
    #[serde(rename = "o")]
    Sound(Vec<SuspectId>),
    /// A suspect is in quarantine.
    #[serde(rename = "q")]
    Quarantined {
        /// Identifies it.
        #[serde(rename = "s")]
        id: SuspectId,
        /// Time since it was put into quarantine, in ms.
        #[serde(rename = "a")]
        age_ms: u32,
        /// The number of crashes on which this is based.
        #[serde(rename = "n")]
        crashes: u32,
    },
}
