//! How much evidence puts a suspect into quarantine.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::crash::Crash;
use super::{OBJECTION_TIME, PromptId, QUARANTINE_TIME, Quarantine, SAME_TIME, Subject, SuspectId};

/// Crashes after which a segment goes into quarantine.
const SEGMENT_CRASHES: usize = 4;
/// Different prompts with the segment that must have been open at these crashes. Retries of a sound prompt may
/// meet several crashes.
const SEGMENT_PROMPTS: usize = 3;
/// The same if there was one more crash.
const SEGMENT_PROMPTS_LATER: usize = 2;
/// One of this many crashes, since the first with the segment, must have it among the suspects. There may be
/// several such segments, and crashes with other causes.
const CRASHES_PER_SUSPICION: usize = 3;
/// Crashes after which a request goes into quarantine if no other one was open at all of them.
const REQUEST_CRASHES: usize = 3;
/// The same if it was the only one open at each.
const LONE_REQUEST_CRASHES: usize = 2;

impl Quarantine {
    /// The number of crashes that put a suspect into quarantine now; `None` if there are too few.
    pub(super) fn sufficient_crashes(&self, id: SuspectId, now: Instant) -> Option<u32> {
        let known = self.entries.get(&id);
        if known.is_some_and(|entry| !entry.is_due(now)) {
            return None;
        }
        let later = |c: &&Crash| known.is_none_or(|v| c.at >= v.since + QUARANTINE_TIME);
        let against: Vec<&Crash> = self
            .suspicions(id)
            .filter(|c| is_mature(c, now))
            .filter(later)
            .collect();
        let sufficient = match self.subject {
            Subject::Segments => self.suffices_for_segment(id, &against, now),
            Subject::Requests if known.is_some() => !against.is_empty(),
            Subject::Requests => suffices_for_request(id, &against),
        };
        sufficient.then(|| u32::try_from(against.len()).unwrap_or(u32::MAX))
    }

    fn suffices_for_segment(&self, id: SuspectId, against: &[&Crash], now: Instant) -> bool {
        let Some(first) = against.iter().map(|c| c.at).min() else {
            return false;
        };
        let prompts: BTreeSet<PromptId> = against
            .iter()
            .flat_map(|c| &c.suspects[&id])
            .copied()
            .collect();
        let total = self.crashes.iter().filter(|c| !c.refuted && c.at >= first);
        let total = total.filter(|c| is_mature(c, now)).count();
        let count = against.len();
        let enough = match prompts.len() {
            _ if self.entries.contains_key(&id) => true,
            SEGMENT_PROMPTS.. => count >= SEGMENT_CRASHES,
            SEGMENT_PROMPTS_LATER.. => count > SEGMENT_CRASHES,
            _ => false,
        };
        enough && count * CRASHES_PER_SUSPICION >= total
    }
}

fn suffices_for_request(id: SuspectId, against: &[&Crash]) -> bool {
    let Some(first) = against.first() else {
        return false;
    };
    let alone = against.iter().filter(|c| c.suspects.len() == 1);
    let mut others = first.suspects.keys().filter(|other| **other != id);
    let shared = others.any(|other| against.iter().all(|c| c.suspects.contains_key(other)));
    let apart = count_apart(against.iter().map(|c| c.at));
    count_apart(alone.map(|c| c.at)) >= LONE_REQUEST_CRASHES
        || (apart >= REQUEST_CRASHES && !shared)
}

/// The number of crashes of which none comes at the same time as the one before.
fn count_apart(times: impl Iterator<Item = Instant>) -> usize {
    let mut times: Vec<Instant> = times.collect();
    times.sort_unstable();
    let mut last = None;
    let apart = times.into_iter().filter(|at| {
        let new = last.is_none_or(|last| *at >= last + SAME_TIME);
        if new {
            last = Some(*at);
        }
        new
    });
    apart.count()
}

/// Whether the other instances have had time to object.
fn is_mature(crash: &Crash, now: Instant) -> bool {
    now.saturating_duration_since(crash.noted) >= OBJECTION_TIME
}
