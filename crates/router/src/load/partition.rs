//! Partition of a pool's servers between request classes whose prompts disturb each other.
//!
//! While a server prefills a long prompt, its running responses pause. Classes that tolerate only
//! short pauses therefore get servers of their own, in proportion to their demand. The partition
//! expresses a preference: a request goes to a server of another part when that costs less than
//! waiting.
//!
//! Servers are ranked by rendezvous hashing with a constant key, and the ranks are divided in the
//! order of the pause targets, so that instances with the same view of the demand have the same
//! partition.

use std::collections::HashMap;
use std::fmt;

use slotmap::{SecondaryMap, SlotMap};
use smol_str::SmolStr;

use crate::load::fleet_demand::ClassSummary;
use crate::load::server::{Server, ServerId};
use crate::rendezvous;

/// Fraction of the pause target up to which a prefill doesn't disturb a response, as several
/// prompts may be prefilled during one pause.
const HARMLESS: f64 = 0.25;
/// Change of a border, in servers, that is ignored (hysteresis).
const BORDER_TOLERANCE: f64 = 0.75;
/// Fraction of a class's responses that the prompts of others have to disturb before it gets servers
/// of its own.
const SEPARATE_RATIO: f64 = 0.25;
/// The same for classes that already have servers of their own (hysteresis).
const KEEP_RATIO: f64 = 0.1;
/// Servers of a part relative to its demand, except for the last part, which gets the rest.
const HEADROOM: f64 = 1.5;
/// Growth of the headroom of a part all of whose responses miss their pause target: the more requests run at a server,
/// the longer each of its steps takes.
const CROWDED_GROWTH: f64 = 8.0;
/// Largest headroom of a crowded part.
const HEADROOM_MAX: f64 = 4.0;
/// Fraction of their share of the servers that parts keep whatever the parts before them need.
const REST_SHARE_MIN: f64 = 0.6;
/// Key by which servers are ranked.
const RANK_KEY: u64 = 1;

/// Index of a part; parts with shorter pause targets come first.
pub type PartIndex = usize;

/// Classes that share servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Shortest pause target of the classes, in ms; infinite if none has one.
    pub gap_ms: f64,
    /// Prefill time of a long prompt of the classes, in ms.
    pub prefill_ms: f64,
    classes: Vec<SmolStr>,
    /// Servers that the classes keep busy.
    demand: f64,
    /// Servers all of whose slots the classes take.
    slot_servers: f64,
    /// Largest fraction of a class's responses that would be disturbed at shared servers.
    disturbed: f64,
    /// Largest fraction of a class's responses that miss the pause target at servers of the part.
    crowded: f64,
}

/// How much a prefill of `prefill_ms` disturbs a response with a pause target of `gap_ms`: 0 for
/// not at all, 1 if the target is certainly missed.
#[must_use]
pub fn disturbance(prefill_ms: f64, gap_ms: f64) -> f64 {
    ((prefill_ms / gap_ms - HARMLESS) / (1.0 - HARMLESS)).clamp(0.0, 1.0)
}

impl fmt::Display for Partition {
    /// Writes the classes of each part, and the rank at which its servers begin.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let starts = std::iter::once(0).chain(self.borders.iter().copied());
        for (n, (part, start)) in self.parts.iter().zip(starts).enumerate() {
            let separator = if n == 0 { "" } else { ";" };
            write!(f, "{separator}{start}:{}", part.classes.join("+"))?;
        }
        Ok(())
    }
}

/// The servers' parts. By default all servers are in one part.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    parts: Vec<Part>,
    /// Rank at which each part but the first begins.
    borders: Vec<usize>,
    by_server: SecondaryMap<ServerId, PartIndex>,
    by_class: HashMap<SmolStr, PartIndex>,
    /// Whether classes that share servers go on sharing them, however often they disturb each other.
    keeps_sharing: bool,
}

impl Partition {
    /// Sets whether classes that share servers go on sharing them, however often they disturb each other.
    pub const fn keep_sharing(&mut self, keep: bool) {
        self.keeps_sharing = keep;
    }

    /// The part of a class; `None` if the class has no recent requests.
    #[must_use]
    pub fn of_class(&self, class: &str) -> Option<PartIndex> {
        self.by_class.get(class).copied()
    }

    /// The part of a server; the last one if the server is new.
    #[must_use]
    pub fn of_server(&self, server: ServerId) -> PartIndex {
        let known = self.by_server.get(server).copied();
        known.unwrap_or(self.parts.len().saturating_sub(1))
    }

    /// Whether a server also takes requests that disturb those of a class.
    #[must_use]
    pub fn shares(&self, server: ServerId, class: &str) -> bool {
        self.of_class(class).is_some_and(|part| {
            let last = part + 1 == self.parts.len();
            last || self.of_server(server) > part
        })
    }

    /// The parts in order.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Adapts the partition to the demand and to the servers, of which those that are leaving or
    /// constrained by a rate limit aren't ranked.
    pub fn update(
        &mut self,
        servers: &SlotMap<ServerId, Server>,
        demand: &[ClassSummary],
        instances: f64,
    ) {
        let mut ranked: Vec<(u64, ServerId)> = servers
            .iter()
            .filter(|(_, s)| !s.declared.leaving && !s.is_constrained())
            .map(|(id, s)| (rendezvous::weight(RANK_KEY, s.name()), id))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let parts = self.group(demand);
        self.borders = borders(&parts, ranked.len(), instances, &self.borders);
        self.by_class = HashMap::new();
        for (index, part) in parts.iter().enumerate() {
            let classes = part.classes.iter().cloned();
            self.by_class.extend(classes.map(|class| (class, index)));
        }
        self.by_server = SecondaryMap::new();
        for (rank, (_, id)) in ranked.iter().enumerate() {
            let part = self.borders.iter().filter(|b| **b <= rank).count();
            self.by_server.insert(*id, part);
        }
        self.parts = parts;
    }

    /// Groups the classes in the order of their pause targets. A class joins the part before it
    /// unless its prompts disturb that part too often.
    fn group(&self, demand: &[ClassSummary]) -> Vec<Part> {
        let mut single: Vec<Part> = demand.iter().map(Part::new).collect();
        single.sort_by(|a, b| {
            (a.gap_ms.total_cmp(&b.gap_ms)).then_with(|| a.classes.cmp(&b.classes))
        });
        let mut parts: Vec<Part> = Vec::new();
        for part in single {
            match parts.last_mut() {
                Some(last) if !self.separates(last, &part) => last.join(part),
                _ => parts.push(part),
            }
        }
        parts
    }

    /// Whether `next` gets other servers than `part`.
    fn separates(&self, part: &Part, next: &Part) -> bool {
        let of = |p: &Part| p.classes.first().and_then(|class| self.of_class(class));
        let separate = of(part).is_some() && of(next).is_some() && of(part) != of(next);
        let tolerated = match separate {
            true => KEEP_RATIO,
            false if self.keeps_sharing => return false,
            false => SEPARATE_RATIO,
        };
        part.disturbed > tolerated && disturbance(next.prefill_ms, part.gap_ms) > 0.0
    }
}

impl Part {
    fn new(summary: &ClassSummary) -> Self {
        Self {
            gap_ms: summary.gap_ms.into(),
            prefill_ms: summary.prefill_ms.into(),
            classes: vec![summary.class.clone()],
            demand: summary.servers().into(),
            slot_servers: summary.slot_servers.into(),
            disturbed: summary.disturbed.into(),
            crowded: summary.crowded.into(),
        }
    }

    /// Servers that the part needs beyond its share, as its own requests crowd those that it has; for the average
    /// instance.
    fn growth(&self) -> f64 {
        let headroom = HEADROOM * (1.0 + CROWDED_GROWTH * self.crowded);
        let servers = self.demand.max(self.slot_servers);
        servers * (headroom.min(HEADROOM_MAX) - HEADROOM)
    }

    fn join(&mut self, other: Self) {
        self.gap_ms = self.gap_ms.min(other.gap_ms);
        self.prefill_ms = self.prefill_ms.max(other.prefill_ms);
        self.classes.extend(other.classes);
        self.demand += other.demand;
        self.slot_servers += other.slot_servers;
        self.disturbed = self.disturbed.max(other.disturbed);
        self.crowded = self.crowded.max(other.crowded);
    }
}

/// Divides `servers` ranks in proportion to the demand, of which that of all but the last part is weighted with
/// `HEADROOM`. A part gets at least `HEADROOM` times the slots that its requests take, as far as the following parts keep
/// `REST_SHARE_MIN` of their share. A crowded part gets more, as far as there are servers that no part's demand needs. A
/// border that has moved little since `before` stays.
fn borders(parts: &[Part], servers: usize, instances: f64, before: &[usize]) -> Vec<usize> {
    let last = parts.len().saturating_sub(1);
    let weight = |n: usize, p: &Part| p.demand * if n < last { HEADROOM } else { 1.0 };
    let weights: Vec<f64> = parts
        .iter()
        .enumerate()
        .map(|(n, p)| weight(n, p))
        .collect();
    let total: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let servers_f = count(servers);
    let mut unused = (servers_f - total * instances).max(0.0);
    let mut border = 0.0_f64;
    let mut extra = 0.0_f64;
    let mut share = 0.0_f64;
    let mut borders = Vec::new();
    for (index, part) in parts.iter().enumerate().take(last) {
        let own = weights[index] / total;
        share += own;
        let most = servers_f * (1.0 - (1.0 - share) * REST_SHARE_MIN);
        let slots = part.slot_servers * instances * HEADROOM;
        border = (border + (own * servers_f).max(slots)).min(most);
        let growth = (part.growth() * instances).min(unused);
        unused -= growth;
        extra += growth;
        let grown = (border + extra).min(servers_f);
        let same_parts = before.len() == last;
        let kept = before
            .get(index)
            .filter(|b| same_parts && (count(**b) - grown).abs() <= BORDER_TOLERANCE);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and the number of servers"
        )]
        let rounded = grown.round() as usize;
        borders.push(kept.copied().unwrap_or(rounded).min(servers));
    }
    borders
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
const fn count(n: usize) -> f64 {
    n as f64
}
