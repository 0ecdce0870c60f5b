//! Quarantine of prompt segments that crash backend servers.
//!
//! A segment is put into quarantine when servers keep crashing while prompts with it begin to be answered. The
//! evidence is that of all instances: each reports the crashes that it sees with the segments that could be the
//! cause. A segment is sound, and no suspect any more, once a response to a prompt with it went on past its
//! beginning, at any instance.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

mod crash;
mod notice;
mod sound_segments;

pub use notice::{Notice, Suspect};

use crash::{Crash, MAX_SUSPECTS, Suspects};
use sound_segments::SoundSegments;

/// Identifies the content of a prompt segment.
pub type SegmentId = u64;
/// Identifies a prompt by its last segment, which is its own.
pub type PromptId = u64;

/// Crashes after which a segment is suspected: only one prompt with it at a time is sent by each instance.
const SUSPECTING_CRASHES: usize = 2;
/// Crashes after which a segment goes into quarantine.
const CONVICTING_CRASHES: usize = 4;
/// Different prompts with the segment that must have been open at these crashes. Retries of a sound prompt may
/// meet several crashes.
const CONVICTING_PROMPTS: usize = 3;
/// The same if there was one more crash.
const CONVICTING_PROMPTS_LATER: usize = 2;
/// One of this many crashes, since the first with the segment, must have it among the suspects. There may be
/// several such segments, and crashes with other causes.
const CRASHES_PER_SUSPICION: usize = 3;
/// Time for the other instances to say that a server didn't crash, or that a segment is sound.
const OBJECTION_TIME: Duration = Duration::from_millis(300);
/// Time for which a crash is remembered.
const CRASH_RETENTION: Duration = Duration::from_mins(2);
/// A response of the server that comes this long after its reported crash refutes it.
const REFUTATION_MARGIN: Duration = Duration::from_millis(100);
/// Time between two announcements that a segment is sound.
const SOUND_REPEAT: Duration = Duration::from_secs(10);
/// Time after which a segment in quarantine is tried again with single prompts. One more crash renews it.
pub const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Maximum number of segments in quarantine; the oldest is released for a new one.
const MAX_QUARANTINED: usize = 256;

/// The identity of a prompt, as far as it may crash a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptIdentity {
    /// The segments that other prompts may have in common with it.
    pub shared: Vec<SegmentId>,
    /// Tells it apart from other prompts.
    pub prompt: PromptId,
}

/// A segment in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedSegment {
    /// The segment.
    pub segment: SegmentId,
    /// The number of crashes on which this is based.
    pub crashes: u32,
    /// Time since it was put into quarantine.
    pub age: Duration,
}

/// What is known of the segments of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Unsuspected,
    /// Servers crashed under prompts with this segment: only one prompt with it is to be sent at a time.
    Suspected(SegmentId),
    /// A segment of it is in quarantine.
    Quarantined(QuarantinedSegment),
}

/// A change of what is known, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A crash was reported, by this or another instance, with this many suspects.
    Crash(SmolStr, usize),
    /// A reported crash is refuted.
    Refuted(SmolStr),
    /// A segment was put into quarantine after this many crashes.
    Begun(SegmentId, u32),
    /// A segment was released from quarantine, as it is sound.
    Ended(SegmentId),
}

#[derive(Clone, Copy, Debug)]
struct Verdict {
    since: Instant,
    crashes: u32,
}

impl Verdict {
    /// Whether the segment is to be tried again with single prompts.
    fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= QUARANTINE_TIME
    }
}

/// Evidence of crashes, and the segments in quarantine, as known to one instance.
#[derive(Debug)]
pub struct Quarantine {
    /// In the order in which this instance learned of them.
    crashes: Vec<Crash>,
    sound: SoundSegments,
    /// When it was last announced, by any instance, that a suspected segment is sound.
    announced: HashMap<SegmentId, Instant>,
    verdicts: HashMap<SegmentId, Verdict>,
    notices: Vec<Notice>,
    changes: Vec<QuarantineChange>,
}

impl Quarantine {
    /// Creates the state without any evidence.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            sound: SoundSegments::new(now),
            announced: HashMap::new(),
            verdicts: HashMap::new(),
            notices: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// What is known of a prompt's segments.
    #[must_use]
    pub fn standing(&self, segments: &[SegmentId], now: Instant) -> Standing {
        if self.verdicts.is_empty() && self.crashes.is_empty() {
            return Standing::Unsuspected;
        }
        let mut suspected = None;
        for &segment in segments {
            match self.verdicts.get(&segment) {
                Some(verdict) if !verdict.is_due(now) => {
                    return Standing::Quarantined(QuarantinedSegment {
                        segment,
                        crashes: verdict.crashes,
                        age: now.saturating_duration_since(verdict.since),
                    });
                }
                Some(_) => suspected = Some(segment),
                None if self.suspicions(segment).count() >= SUSPECTING_CRASHES => {
                    suspected = Some(segment);
                }
                None => {}
            }
        }
        suspected.map_or(Standing::Unsuspected, Standing::Suspected)
    }

    /// Number of segments in quarantine.
    #[must_use]
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Whether no segment is in quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Records a crash that this instance saw. `open` are the prompts that were open at the server and whose
    /// responses had not gone past their beginning.
    pub fn record_crash(
        &mut self,
        server: &SmolStr,
        at: Instant,
        open: &[PromptIdentity],
        now: Instant,
    ) {
        let mut suspects: Suspects = BTreeMap::new();
        for prompt in open {
            for &segment in &prompt.shared {
                suspects.entry(segment).or_default().insert(prompt.prompt);
            }
        }
        suspects.retain(|segment, _| !self.sound.contains(*segment));
        self.add_crash(server, at, suspects, now);
    }

    /// Records that a response to a prompt with these segments went on past its beginning.
    pub fn record_sound(&mut self, segments: &[SegmentId], now: Instant) {
        let new = segments.iter().copied();
        let new: Vec<SegmentId> = new.filter(|s| self.sound.insert(*s, now)).collect();
        let cleared: Vec<SegmentId> = new.into_iter().filter(|s| self.clear(*s)).collect();
        self.announce_sound(cleared, now);
    }

    /// Records a response of a server. It refutes a reported crash.
    pub fn record_response(&mut self, server: &str, now: Instant) {
        let refuted = self.crashes.iter_mut().filter(|crash| {
            let after = now.saturating_duration_since(crash.at);
            let refutes = crash.server == server && after >= REFUTATION_MARGIN;
            refutes && after < OBJECTION_TIME * 4 && !crash.refuted
        });
        for crash in refuted {
            crash.refuted = true;
            self.notices.push(Notice::Refutation {
                server: crash.server.clone(),
                age_ms: millis(now.saturating_duration_since(crash.at)),
            });
            self.changes
                .push(QuarantineChange::Refuted(crash.server.clone()));
        }
    }

    /// Records what another instance says. What is new is passed on.
    pub fn merge(&mut self, notice: &Notice, now: Instant) {
        match notice {
            Notice::Crash {
                server,
                age_ms,
                suspects,
            } => {
                let mut by_segment = BTreeMap::new();
                let mut sound = Vec::new();
                for suspect in suspects.iter().take(MAX_SUSPECTS) {
                    if self.sound.contains(suspect.segment) {
                        sound.push(suspect.segment);
                    } else {
                        let prompts = suspect.prompts.iter().copied().collect();
                        by_segment.insert(suspect.segment, prompts);
                    }
                }
                self.add_crash(server, earlier(now, *age_ms), by_segment, now);
                self.announce_sound(sound, now);
            }
            Notice::Refutation { server, age_ms } => {
                let at = earlier(now, *age_ms);
                let found = self.crashes.iter_mut().find(|c| c.is_same(server, at));
                if let Some(crash) = found.filter(|c| !c.refuted) {
                    crash.refuted = true;
                    self.notices.push(notice.clone());
                    self.changes.push(QuarantineChange::Refuted(server.clone()));
                }
            }
            Notice::Sound(segments) => {
                let mut news = Vec::new();
                for &segment in segments {
                    let new = self.sound.insert(segment, now);
                    self.announced.insert(segment, now);
                    if self.clear(segment) || new {
                        news.push(segment);
                    }
                }
                if !news.is_empty() {
                    self.notices.push(Notice::Sound(news));
                }
            }
            Notice::Quarantined {
                segment,
                age_ms,
                crashes,
            } => {
                let since = earlier(now, *age_ms);
                self.convict(*segment, since, *crashes, now);
            }
        }
    }

    /// Puts segments into quarantine that enough crashes speak against, and forgets old evidence.
    pub fn update(&mut self, now: Instant) {
        if self.crashes.is_empty() {
            return;
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashes.retain(|c| age(c.at) < CRASH_RETENTION);
        self.announced.retain(|_, at| age(*at) < SOUND_REPEAT);
        let segments: BTreeSet<SegmentId> = self
            .crashes
            .iter()
            .flat_map(|c| c.suspects.keys().copied())
            .collect();
        for segment in segments {
            if let Some(crashes) = self.convicting_crashes(segment, now) {
                self.convict(segment, now, crashes, now);
            }
        }
    }

    /// Takes the notices that are due to be sent to the other instances.
    #[must_use]
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Takes the changes since the last call, for the log.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// All that is known, for an instance that has just been linked.
    #[must_use]
    pub fn all_notices(&self, now: Instant) -> Vec<Notice> {
        let quarantined = self.verdicts.iter().map(|(segment, verdict)| {
            let age_ms = millis(now.saturating_duration_since(verdict.since));
            Notice::Quarantined {
                segment: *segment,
                age_ms,
                crashes: verdict.crashes,
            }
        });
        let crashes = self.crashes.iter().filter(|c| !c.refuted);
        quarantined
            .chain(crashes.map(|c| c.notice(&c.suspects, now)))
            .collect()
    }

    /// The crashes, not refuted, that may have been caused by a segment.
    fn suspicions(&self, segment: SegmentId) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter().filter(|c| !c.refuted);
        crashes.filter(move |c| c.suspects.contains_key(&segment))
    }

    /// The number of crashes that put a segment into quarantine now; `None` if there are too few.
    fn convicting_crashes(&self, segment: SegmentId, now: Instant) -> Option<u32> {
        let mature = |c: &&Crash| now.saturating_duration_since(c.noted) >= OBJECTION_TIME;
        let known = self.verdicts.get(&segment);
        if known.is_some_and(|verdict| !verdict.is_due(now)) {
            return None;
        }
        let later = |c: &&Crash| known.is_none_or(|v| c.at >= v.since + QUARANTINE_TIME);
        let against: Vec<&Crash> = self
            .suspicions(segment)
            .filter(mature)
            .filter(later)
            .collect();
        let first = against.iter().map(|c| c.at).min()?;
        let prompts: BTreeSet<PromptId> = against
            .iter()
            .flat_map(|c| &c.suspects[&segment])
            .copied()
            .collect();
        let total = self.crashes.iter().filter(|c| !c.refuted && c.at >= first);
        let total = total.filter(mature).count();
        let count = against.len();
        let enough = match prompts.len() {
            _ if known.is_some() => true,
            CONVICTING_PROMPTS.. => count >= CONVICTING_CRASHES,
            CONVICTING_PROMPTS_LATER.. => count > CONVICTING_CRASHES,
            _ => false,
        };
        let convicted = enough && count * CRASHES_PER_SUSPICION >= total;
        convicted.then(|| u32::try_from(count).unwrap_or(u32::MAX))
    }

    fn convict(&mut self, segment: SegmentId, since: Instant, crashes: u32, now: Instant) {
        let known = self.verdicts.get(&segment);
        // Of two verdicts the later one counts; instances date the same one a little differently.
        let newer = known.is_none_or(|v| since > v.since + QUARANTINE_TIME);
        if !newer || self.sound.contains(segment) {
            return;
        }
        if known.is_none() && self.verdicts.len() >= MAX_QUARANTINED {
            let oldest = self.verdicts.iter().min_by_key(|(_, v)| v.since);
            if let Some(oldest) = oldest.map(|(segment, _)| *segment) {
                self.verdicts.remove(&oldest);
            }
        }
        self.verdicts.insert(segment, Verdict { since, crashes });
        self.notices.push(Notice::Quarantined {
            segment,
            age_ms: millis(now.saturating_duration_since(since)),
            crashes,
        });
        self.changes.push(QuarantineChange::Begun(segment, crashes));
    }

    /// Drops all that speaks against a segment, and returns whether there was anything.
    fn clear(&mut self, segment: SegmentId) -> bool {
        let mut suspected = false;
        for crash in &mut self.crashes {
            suspected |= crash.suspects.remove(&segment).is_some();
        }
        let quarantined = self.verdicts.remove(&segment).is_some();
        if quarantined {
            self.changes.push(QuarantineChange::Ended(segment));
        }
        suspected || quarantined
    }

    fn announce_sound(&mut self, mut segments: Vec<SegmentId>, now: Instant) {
        segments.retain(|s| !self.announced.contains_key(s));
        if segments.is_empty() {
            return;
        }
        self.announced.extend(segments.iter().map(|s| (*s, now)));
        self.notices.push(Notice::Sound(segments));
    }

    /// Adds a crash, or new suspects of a known one, and passes on what is new.
    fn add_crash(&mut self, server: &SmolStr, at: Instant, suspects: Suspects, now: Instant) {
        let known = self.crashes.iter().position(|c| c.is_same(server, at));
        let index = known.unwrap_or_else(|| {
            self.forget_oldest();
            self.crashes.push(Crash {
                server: server.clone(),
                at,
                noted: now,
                suspects: BTreeMap::new(),
                refuted: false,
            });
            self.changes
                .push(QuarantineChange::Crash(server.clone(), suspects.len()));
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let added = crash.add_suspects(suspects);
        if known.is_none() || !added.is_empty() {
            let notice = crash.notice(&added, now);
            self.notices.push(notice);
        }
    }

    fn forget_oldest(&mut self) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The time `age_ms` before `now`, or `now` if the process had not started then.
fn earlier(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(age_ms.into());
    now.checked_sub(age).unwrap_or(now)
}
