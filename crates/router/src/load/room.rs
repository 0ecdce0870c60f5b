//! Admission while the servers of a pool have too little room for all requests with known prompts.
//!
//! Every instance sees a sample of the servers in the load reports on its own responses. While they are crowded, it
//! lowers the part of the demand that it admits, and raises it again when they aren't. As all instances see the
//! same servers, each admits about the same part of its own demand, and they need no messages for it.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::config::object::Level;
use crate::load::server::LoadReport;

/// Time constant with which load reports lose their weight.
const REPORT_MEMORY: Duration = Duration::from_millis(500);
/// Time for which load reports are relied on: under the heaviest load responses are rare.
const REPORT_VALIDITY: Duration = Duration::from_secs(2);
/// Number of recent load reports from which they are relied on.
const REPORTS_MIN: f64 = 2.0;
/// Crowding at which the admitted part is kept: all slots of a server are in use at 1.
const CROWDING_TARGET: f64 = 0.75;
/// Crowding below which nothing is refused.
const CROWDING_MIN: f64 = 0.5;
/// Change of the logarithm of the admitted part in a second, for each unit of crowding above the target.
const GAIN_PER_S: f64 = 3.0;
/// Bounds of the change of crowding that counts, so that one full queue doesn't stop a level.
const EXCESS_MAX: f64 = 1.5;
/// Smallest part of the demand that is admitted.
const ADMITTED_MIN: f64 = 0.05;
/// Time constant of the present demand.
const DEMAND_MEMORY: Duration = Duration::from_millis(500);
/// Time constant of the usual demand of an organisation.
const USUAL_MEMORY: Duration = Duration::from_secs(20);
/// Part of the mean of all organisations that each of them is granted besides its usual demand.
const USUAL_FLOOR: f64 = 0.1;
/// Demand, in tokens, below which an idle organisation is forgotten.
const DEMAND_MIN: f64 = 1.0;
/// Credit from which a request is admitted: each takes 1, so that the mean is kept.
const ADMISSION_CREDIT: f64 = 0.5;
/// Requests that callers who come back may be ahead of their organisation's part.
const RETURN_CREDIT: f64 = 8.0;
/// Bounds of the time after which room is expected.
const EXPECTED_MIN: Duration = Duration::from_millis(250);
/// See [`EXPECTED_MIN`].
const EXPECTED_MAX: Duration = Duration::from_secs(4);
/// Part of the time that a caller has left after which it is to come back at the latest.
const RETURN_FRACTION: f64 = 1.0 / 3.0;

/// A request as far as its admission depends on it.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Level of its tier; 0 is the most important.
    pub level: Level,
    /// The organisation that it counts for.
    pub organisation: &'a SmolStr,
    /// Length of its prompt.
    pub tokens: u32,
    /// Time in which the prompt is read at an idle server.
    pub prefill: Duration,
    /// Time until its caller gives up.
    pub left: Duration,
    /// Whether its caller was refused before.
    pub returned: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is sent or queued as usual.
    Admitted,
    /// It isn't sent. Room is expected after that time.
    Refused(Duration),
}

/// Exponentially decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    sum: f64,
    at: Option<Instant>,
}

impl Decaying {
    fn value(&self, memory: Duration, now: Instant) -> f64 {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.sum * (-age.as_secs_f64() / memory.as_secs_f64()).exp()
    }

    fn add(&mut self, amount: f64, memory: Duration, now: Instant) {
        self.sum = self.value(memory, now) + amount;
        self.at = Some(now);
    }
}

/// How full the servers are that responses came from lately.
#[derive(Clone, Copy, Debug, Default)]
struct Crowding {
    total: Decaying,
    weight: Decaying,
    reports: Decaying,
}

impl Crowding {
    fn record(&mut self, report: LoadReport, slots: u32, now: Instant) {
        let slots = f64::from(slots.max(1));
        let crowding = match report.waiting {
            0 => f64::from(report.running) / slots,
            waiting => 1.0 + f64::from(waiting) / slots,
        };
        self.total.add(crowding, REPORT_MEMORY, now);
        self.weight.add(1.0, REPORT_MEMORY, now);
        self.reports.add(1.0, REPORT_VALIDITY, now);
    }

    /// The mean; `None` with too few reports.
    fn mean(&self, now: Instant) -> Option<f64> {
        let weight = self.weight.value(REPORT_MEMORY, now);
        let total = self.total.value(REPORT_MEMORY, now);
        let reports = self.reports.value(REPORT_VALIDITY, now);
        let last = self.reports.at?;
        let recent = now.saturating_duration_since(last) < REPORT_VALIDITY;
        (recent && reports >= REPORTS_MIN).then(|| total / weight)
    }
}

/// Demand of one organisation at one level.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    present: Decaying,
    usual: Decaying,
    /// Requests that it may send, less those that it sent.
    credit: f64,
    /// The part of its requests that is admitted.
    share: f64,
}

type Usages = BTreeMap<SmolStr, Usage>;

/// Decides which requests of this instance are sent while the servers are crowded.
#[derive(Clone, Debug)]
pub struct Room {
    crowding: Crowding,
    /// Part of the demand that is admitted.
    admitted: f64,
    levels: BTreeMap<Level, Usages>,
    updated: Option<Instant>,
}

impl Default for Room {
    fn default() -> Self {
        Self {
            crowding: Crowding::default(),
            admitted: 1.0,
            levels: BTreeMap::new(),
            updated: None,
        }
    }
}

impl Room {
    /// Records what a server with so many slots says of its load in a response.
    pub fn record_load(&mut self, report: LoadReport, slots: u32, now: Instant) {
        self.crowding.record(report, slots, now);
    }

    /// How full the servers are; `None` without recent reports.
    #[must_use]
    pub fn crowding(&self, now: Instant) -> Option<f64> {
        self.crowding.mean(now)
    }

    /// Part of this instance's demand that is admitted.
    #[must_use]
    pub const fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Whether less than all is admitted.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.admitted < 1.0 && !self.levels.is_empty()
    }

    /// Adapts what is admitted to the load of the servers. To be called about ten times a second.
    pub fn update(&mut self, now: Instant) {
        let since = self.updated.replace(now);
        let elapsed = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.admitted = match self.crowding.mean(now) {
            None => 1.0,
            Some(crowding) => {
                let excess = (crowding - CROWDING_TARGET).min(EXCESS_MAX);
                let factor = (-excess * GAIN_PER_S * elapsed.as_secs_f64()).exp();
                (self.admitted * factor).clamp(ADMITTED_MIN, 1.0)
            }
        };
        self.forget_idle(now);
        self.assign_shares(now);
    }

    /// Decides on a request, and counts it. `jitter` from 0 to 1 spreads the time of a return.
    pub fn admit(&mut self, arrival: &Arrival<'_>, jitter: f64, now: Instant) -> Decision {
        let tokens = f64::from(arrival.tokens);
        let organisations = self.levels.entry(arrival.level).or_default();
        let shares = organisations.values().map(|u| u.share);
        let usage = Usage {
            share: shares.max_by(f64::total_cmp).unwrap_or(self.admitted),
            ..Usage::default()
        };
        let usage = organisations
            .entry(arrival.organisation.clone())
            .or_insert(usage);
        usage.present.add(tokens, DEMAND_MEMORY, now);
        usage.usual.add(tokens, USUAL_MEMORY, now);
        let crowded = self.crowding.mean(now).is_some_and(|c| c >= CROWDING_MIN);
        if !crowded || usage.share >= 1.0 {
            usage.credit = 0.0;
            return Decision::Admitted;
        }
        let readable = arrival.prefill < arrival.left;
        usage.credit = (usage.credit + usage.share).min(1.0);
        let advance = if arrival.returned && usage.share > 0.0 {
            RETURN_CREDIT
        } else {
            0.0
        };
        let due = ADMISSION_CREDIT - advance;
        if readable && usage.credit >= due {
            usage.credit -= 1.0;
            return Decision::Admitted;
        }
        Decision::Refused(return_delay(usage.share, arrival.left, jitter))
    }

    fn forget_idle(&mut self, now: Instant) {
        for organisations in self.levels.values_mut() {
            organisations.retain(|_, usage| usage.usual.value(USUAL_MEMORY, now) >= DEMAND_MIN);
        }
        self.levels
            .retain(|_, organisations| !organisations.is_empty());
    }

    /// Divides the room among levels and, within a level, among organisations.
    fn assign_shares(&mut self, now: Instant) {
        let demand = |usages: &Usages| -> f64 {
            let present = usages.values().map(|u| u.present.value(DEMAND_MEMORY, now));
            present.sum()
        };
        let total: f64 = self.levels.values().map(demand).sum();
        let mut room = total * self.admitted;
        for usages in self.levels.values_mut() {
            let wanted = demand(usages);
            let fits = self.admitted >= 1.0 || wanted <= room;
            divide(usages, if fits { f64::INFINITY } else { room }, now);
            room = (room - wanted).max(0.0);
        }
    }
}

/// Divides the room of one level in proportion to the usual demand of the organisations. What one leaves goes to the
/// others.
fn divide(usages: &mut Usages, room: f64, now: Instant) {
    let usual = |u: &Usage| u.usual.value(USUAL_MEMORY, now);
    #[expect(clippy::cast_precision_loss, reason = "few organisations")]
    let mean = usages.values().map(usual).sum::<f64>() / usages.len().max(1) as f64;
    let weight = |u: &Usage| usual(u) + mean * USUAL_FLOOR;
    let present = |u: &Usage| u.present.value(DEMAND_MEMORY, now);
    let mut order: Vec<&mut Usage> = usages.values_mut().collect();
    order.sort_by(|a, b| (present(a) * weight(b)).total_cmp(&(present(b) * weight(a))));
    let mut weights: f64 = order.iter().map(|u| weight(u)).sum();
    let mut left = room;
    for usage in order {
        let wanted = present(usage);
        let given = wanted.min(left * weight(usage) / weights.max(f64::MIN_POSITIVE));
        weights -= weight(usage);
        left -= given;
        usage.share = if given >= wanted { 1.0 } else { given / wanted };
    }
}

/// When the caller of a refused request is to come back: later, the less is admitted.
fn return_delay(share: f64, left: Duration, jitter: f64) -> Duration {
    let excess = (1.0 - share) / share.max(ADMITTED_MIN);
    let expected = Duration::from_secs_f64(excess).clamp(EXPECTED_MIN, EXPECTED_MAX);
    let spread = expected.mul_f64(0.5 + jitter);
    spread.min(left.mul_f64(RETURN_FRACTION * (0.7 + 0.3 * jitter)))
}
