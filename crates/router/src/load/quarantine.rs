//! Quarantine of prompt segments, or of requests, that crash backend servers.
//!
//! A suspect is put into quarantine when servers keep crashing while requests with it begin to be answered. The
//! evidence is that of all instances: each reports the crashes that it sees with the suspects that could be the
//! cause. A suspect is sound, and none any more, once a response to a request with it went on past its beginning, at
//! any instance.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

mod crash;
mod crash_list;
mod notice;
mod sound_suspects;
mod suspect;
mod threshold;

pub use notice::{Notice, Suspect};
pub use suspect::{
    PromptId, Quarantined, RequestIdentity, Standing, Subject, SuspectId, Suspicion,
};

use crash::{Crash, MAX_SUSPECTS, Suspects};
use crash_list::CrashList;
use sound_suspects::SoundSuspects;

/// Crashes after which a suspect is to be tried with care.
const SUSPECTING_CRASHES: usize = 2;
/// Servers that crash within this time may have one cause in common, such as a loss of power.
const SAME_TIME: Duration = Duration::from_millis(100);
/// Time for the other instances to say that a server didn't crash, or that a suspect is sound.
const OBJECTION_TIME: Duration = Duration::from_millis(300);
/// A response of the server that comes this long after its reported crash refutes it.
const REFUTATION_MARGIN: Duration = Duration::from_millis(100);
/// Time between two announcements that a suspect is sound.
const SOUND_REPEAT: Duration = Duration::from_secs(10);
/// Time after which a suspect in quarantine is tried again with single requests. One more crash renews it.
pub const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// Maximum number of suspects in quarantine; the oldest is released for a new one.
const MAX_QUARANTINED: usize = 256;

/// A change of what is known, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A crash was reported, by this or another instance, with this many suspects.
    Crash(SmolStr, usize),
    /// A reported crash is refuted.
    Refuted(SmolStr),
    /// A suspect was put into quarantine after this many crashes.
    Begun(SuspectId, u32),
    /// A suspect was released from quarantine, as it is sound.
    Ended(SuspectId),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    since: Instant,
    crashes: u32,
}

impl Entry {
    /// Whether the suspect is to be tried again with single requests.
    fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= QUARANTINE_TIME
    }
}

/// Evidence of crashes, and the suspects in quarantine, as known to one instance.
#[derive(Debug)]
pub struct Quarantine {
    subject: Subject,
    crashes: CrashList,
    sound: SoundSuspects,
    /// When it was last announced, by any instance, that a suspect is sound.
    announced: HashMap<SuspectId, Instant>,
    entries: HashMap<SuspectId, Entry>,
    /// The suspects that are to be tried with care, as of the last update.
    suspected: HashSet<SuspectId>,
    /// Whether the crashes have changed since then.
    changed: bool,
    /// Until when the crashes may put a suspect into quarantine without a further change.
    undecided_until: Instant,
    notices: Vec<Notice>,
    changes: Vec<QuarantineChange>,
}

impl Quarantine {
    /// Creates the state without any evidence.
    #[must_use]
    pub fn new(subject: Subject, now: Instant) -> Self {
        Self {
            subject,
            crashes: CrashList::default(),
            sound: SoundSuspects::new(now),
            announced: HashMap::new(),
            entries: HashMap::new(),
            suspected: HashSet::new(),
            changed: false,
            undecided_until: now,
            notices: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// What is known of a request.
    #[must_use]
    pub fn standing(&self, identity: &RequestIdentity, now: Instant) -> Standing {
        if self.is_clear() {
            return Standing::Unsuspected;
        }
        let mut suspected = None;
        for &id in identity.suspects(self.subject) {
            match self.entries.get(&id) {
                Some(entry) if !entry.is_due(now) => {
                    return Standing::Quarantined(Quarantined {
                        subject: self.subject,
                        id,
                        crashes: entry.crashes,
                        age: now.saturating_duration_since(entry.since),
                    });
                }
                Some(_) => suspected = Some(id),
                None if self.is_suspected(id) => suspected = Some(id),
                None => {}
            }
        }
        suspected.map_or(Standing::Unsuspected, |id| {
            Standing::Suspected(Suspicion {
                subject: self.subject,
                id,
                crashes: self.suspicions(id).count(),
                last: self.suspicions(id).map(|c| c.noted).max(),
            })
        })
    }

    /// Whether a suspect that isn't in quarantine is to be tried with care. A request that was the only one open at a
    /// crash is suspected at once.
    fn is_suspected(&self, id: SuspectId) -> bool {
        if !self.changed {
            return self.suspected.contains(&id);
        }
        let alone = |c: &Crash| self.is_lone(c);
        self.suspicions(id).count() >= SUSPECTING_CRASHES || self.suspicions(id).any(alone)
    }

    /// Whether a response to a request with this suspect lately went on past its beginning.
    #[must_use]
    pub fn is_sound(&self, id: SuspectId) -> bool {
        self.sound.contains(id)
    }

    /// Whether a crash of the server is known that was about the time `at`.
    #[must_use]
    pub fn has_crash(&self, server: &str, at: Instant) -> bool {
        let mut crashes = self.crashes.iter().filter(|c| !c.refuted);
        crashes.any(|c| c.is_same(server, at))
    }

    /// Number of crashes within this time, as far as they are remembered.
    #[must_use]
    pub fn crashes_within(&self, time: Duration, now: Instant) -> usize {
        let crashes = self.crashes.iter().filter(|c| !c.refuted);
        let recent = crashes.filter(|c| now.saturating_duration_since(c.at) < time);
        recent.count()
    }

    /// Whether no crash is known, and nothing is in quarantine.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.entries.is_empty() && self.crashes.is_empty()
    }

    /// The suspects in quarantine.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Quarantined> {
        let entries = self.entries.iter();
        entries.map(move |(id, entry)| Quarantined {
            subject: self.subject,
            id: *id,
            crashes: entry.crashes,
            age: now.saturating_duration_since(entry.since),
        })
    }

    /// Records a crash that this instance saw. `open` are the requests that were open at the server and whose
    /// responses had not gone past their beginning.
    pub fn record_crash(
        &mut self,
        server: &SmolStr,
        at: Instant,
        open: &[RequestIdentity],
        now: Instant,
    ) {
        let mut suspects: Suspects = BTreeMap::new();
        for identity in open {
            for &id in identity.suspects(self.subject) {
                suspects.entry(id).or_default().insert(identity.prompt);
            }
        }
        suspects.retain(|id, _| !self.sound.contains(*id));
        self.add_crash(server, at, suspects, now);
    }

    /// Records that the response to a request went on past its beginning.
    pub fn record_sound(&mut self, identity: &RequestIdentity, now: Instant) {
        let new = identity.suspects(self.subject).iter().copied();
        let new: Vec<SuspectId> = new.filter(|s| self.sound.insert(*s, now)).collect();
        let cleared: Vec<SuspectId> = new.into_iter().filter(|s| self.clear(*s)).collect();
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
            self.changed = true;
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
                let mut by_id = BTreeMap::new();
                let mut sound = Vec::new();
                for suspect in suspects.iter().take(MAX_SUSPECTS) {
                    if self.sound.contains(suspect.id) {
                        sound.push(suspect.id);
                    } else {
                        let prompts = suspect.prompts.iter().copied().collect();
                        by_id.insert(suspect.id, prompts);
                    }
                }
                self.add_crash(server, earlier(now, *age_ms), by_id, now);
                self.announce_sound(sound, now);
            }
            Notice::Refutation { server, age_ms } => {
                let at = earlier(now, *age_ms);
                let found = self.crashes.find_mut(server, at);
                if let Some(crash) = found.filter(|c| !c.refuted) {
                    crash.refuted = true;
                    self.changed = true;
                    self.notices.push(notice.clone());
                    self.changes.push(QuarantineChange::Refuted(server.clone()));
                }
            }
            Notice::Sound(ids) => {
                let mut news = Vec::new();
                for &id in ids {
                    let new = self.sound.insert(id, now);
                    self.announced.insert(id, now);
                    if self.clear(id) || new {
                        news.push(id);
                    }
                }
                if !news.is_empty() {
                    self.notices.push(Notice::Sound(news));
                }
            }
            Notice::Quarantined {
                id,
                age_ms,
                crashes,
            } => {
                let since = earlier(now, *age_ms);
                self.begin(*id, since, *crashes, now);
            }
        }
    }

    /// Puts suspects into quarantine that enough crashes speak against, and forgets old evidence.
    pub fn update(&mut self, now: Instant) {
        self.changed |= self.crashes.expire(now);
        if self.crashes.is_empty() {
            return;
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        self.announced.retain(|_, at| age(*at) < SOUND_REPEAT);
        let changed = self.changed;
        if changed {
            self.undecided_until = now + OBJECTION_TIME * 2;
        }
        if changed || now < self.undecided_until {
            for id in self.candidates() {
                if let Some(crashes) = self.sufficient_crashes(id, now) {
                    self.begin(id, now, crashes, now);
                }
            }
            self.suspected = self.find_suspected();
            self.changed = false;
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
        let quarantined = self.entries.iter().map(|(id, entry)| {
            let age_ms = millis(now.saturating_duration_since(entry.since));
            Notice::Quarantined {
                id: *id,
                age_ms,
                crashes: entry.crashes,
            }
        });
        let crashes = self.crashes.iter().filter(|c| !c.refuted);
        quarantined
            .chain(crashes.map(|c| c.notice(&c.suspects, now)))
            .collect()
    }

    /// The suspects that several crashes speak against, or that were in quarantine.
    fn candidates(&self) -> Vec<SuspectId> {
        let counts = self.count_crashes();
        let several = |(id, count): &(SuspectId, usize)| {
            *count >= SUSPECTING_CRASHES || self.entries.contains_key(id)
        };
        let several = counts.into_iter().filter(several);
        several.map(|(id, _)| id).collect()
    }

    /// Whether one request alone may have caused a crash: no other was open there, and no other server crashed at the
    /// same time without it.
    fn is_lone(&self, crash: &Crash) -> bool {
        if self.subject == Subject::Segments || crash.suspects.len() != 1 {
            return false;
        }
        let mut others = self.crashes.iter().filter(|c| !c.refuted);
        others.all(|other| {
            let apart = other.at.max(crash.at) - other.at.min(crash.at);
            apart >= SAME_TIME || other.suspects.keys().eq(crash.suspects.keys())
        })
    }

    fn find_suspected(&self) -> HashSet<SuspectId> {
        let several = self.count_crashes().into_iter();
        let several = several.filter(|(_, count)| *count >= SUSPECTING_CRASHES);
        let alone = self.crashes.iter().filter(|c| !c.refuted && !c.explained);
        let alone = alone.filter(|c| self.is_lone(c));
        let alone = alone.flat_map(|c| c.suspects.keys().copied());
        several.map(|(id, _)| id).chain(alone).collect()
    }

    /// The number of crashes, not refuted or explained, for each suspect.
    fn count_crashes(&self) -> HashMap<SuspectId, usize> {
        let mut counts = HashMap::new();
        let crashes = self.crashes.iter().filter(|c| !c.refuted);
        for crash in crashes {
            let suspects = crash.suspects.keys();
            for id in suspects.filter(|id| !crash.explained || self.entries.contains_key(id)) {
                *counts.entry(*id).or_default() += 1;
            }
        }
        counts
    }

    /// The crashes, not refuted, that a suspect may have caused. Those that another one in quarantine explains don't
    /// count.
    fn suspicions(&self, id: SuspectId) -> impl Iterator<Item = &Crash> {
        let known = self.entries.contains_key(&id);
        let crashes = self.crashes.iter().filter(|c| !c.refuted);
        crashes.filter(move |c| c.suspects.contains_key(&id) && (known || !c.explained))
    }

    fn begin(&mut self, id: SuspectId, since: Instant, crashes: u32, now: Instant) {
        let known = self.entries.get(&id);
        // Of two the later one counts; instances date the same one a little differently.
        let newer = known.is_none_or(|v| since > v.since + QUARANTINE_TIME);
        if !newer || self.sound.contains(id) {
            return;
        }
        if known.is_none() && self.entries.len() >= MAX_QUARANTINED {
            let oldest = self.entries.iter().min_by_key(|(_, v)| v.since);
            match oldest.map(|(id, v)| (*id, v.since)) {
                Some((_, oldest)) if since <= oldest => return,
                Some((id, _)) => drop(self.entries.remove(&id)),
                None => {}
            }
        }
        self.entries.insert(id, Entry { since, crashes });
        self.changed = true;
        self.explain_crashes();
        self.notices.push(Notice::Quarantined {
            id,
            age_ms: millis(now.saturating_duration_since(since)),
            crashes,
        });
        self.changes.push(QuarantineChange::Begun(id, crashes));
    }

    /// Marks the crashes that requests in quarantine explain: others that were open there are no suspects for it.
    /// Segments come with others by their nature, and are told apart by their prompts.
    fn explain_crashes(&mut self) {
        if self.subject == Subject::Segments {
            return;
        }
        for crash in self.crashes.iter_mut() {
            let mut suspects = crash.suspects.keys();
            crash.explained = suspects.any(|id| self.entries.contains_key(id));
        }
    }

    /// Drops all that speaks against a suspect, and returns whether there was anything.
    fn clear(&mut self, id: SuspectId) -> bool {
        let mut suspected = false;
        for crash in self.crashes.iter_mut() {
            suspected |= crash.suspects.remove(&id).is_some();
        }
        self.changed |= suspected;
        let quarantined = self.entries.remove(&id).is_some();
        if quarantined {
            self.explain_crashes();
            self.changes.push(QuarantineChange::Ended(id));
        }
        suspected || quarantined
    }

    fn announce_sound(&mut self, mut ids: Vec<SuspectId>, now: Instant) {
        ids.retain(|id| !self.announced.contains_key(id));
        if ids.is_empty() {
            return;
        }
        self.announced.extend(ids.iter().map(|id| (*id, now)));
        self.notices.push(Notice::Sound(ids));
    }

    /// Adds a crash, or new suspects of a known one, and passes on what is new.
    fn add_crash(&mut self, server: &SmolStr, at: Instant, suspects: Suspects, now: Instant) {
        let Some(crash) = self.crashes.find_mut(server, at) else {
            return self.add_new_crash(server, at, suspects, now);
        };
        let added = crash.add_suspects(suspects);
        if !added.is_empty() {
            self.notices.push(crash.notice(&added, now));
            self.changed = true;
            self.explain_crashes();
        }
    }

    fn add_new_crash(&mut self, server: &SmolStr, at: Instant, suspects: Suspects, now: Instant) {
        let crash = Crash {
            server: server.clone(),
            at,
            noted: now,
            suspects: BTreeMap::new(),
            refuted: false,
            explained: false,
        };
        let count = suspects.len();
        let Some(crash) = self.crashes.add(crash, now) else {
            return;
        };
        let added = crash.add_suspects(suspects);
        self.notices.push(crash.notice(&added, now));
        self.changes
            .push(QuarantineChange::Crash(server.clone(), count));
        self.changed = true;
        self.explain_crashes();
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
