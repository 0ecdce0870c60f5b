//! What instances tell each other of crashes and segments.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{PromptId, SegmentId};

/// A segment that may have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The segment.
    #[serde(rename = "s")]
    pub segment: SegmentId,
    /// The prompts with it whose responses had not gone past their beginning.
    #[serde(rename = "p")]
    pub prompts: Vec<PromptId>,
}

/// What instances tell each other of crashes and segments.
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
        /// The segments that may be the cause.
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
    /// Responses to prompts with these segments went on past their beginning.
    #[serde(rename = "o")]
    Sound(Vec<SegmentId>),
    /// A segment is in quarantine.
    #[serde(rename = "q")]
    Quarantined {
        /// The segment.
        #[serde(rename = "s")]
        segment: SegmentId,
        /// Time since it was put into quarantine, in ms.
        #[serde(rename = "a")]
        age_ms: u32,
        /// The number of crashes on which this is based.
        #[serde(rename = "n")]
        crashes: u32,
    },
}
