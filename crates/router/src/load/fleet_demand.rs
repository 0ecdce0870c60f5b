//! Demand of the average instance for the servers of a pool.
//!
//! Each instance observes only a part of the requests, and two instances that derive decisions from
//! their own observations would decide differently. So each keeps a mean that it moves towards its
//! own observations, and towards the means that it receives from peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Weight of this instance's own demand at each update of the mean.
const OWN_WEIGHT: f32 = 0.2;
/// Weight of a peer's mean when it is received.
const PEER_WEIGHT: f32 = 0.25;
/// Servers below which a class is forgotten.
const SERVERS_MIN: f32 = 0.001;
/// Classes that are exchanged between instances at most.
const CLASSES_MAX: usize = 6;

/// Demand of one class, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// Name of the class.
    #[serde(rename = "c")]
    pub class: SmolStr,
    /// Target for the longest pause between the events of a response, in ms; infinite if there is
    /// none.
    #[serde(rename = "g")]
    pub gap_ms: f32,
    /// Servers that the prefill of the class's prompts keeps busy.
    #[serde(rename = "w")]
    pub prefill_servers: f32,
    /// Servers all of whose slots requests of the class take.
    #[serde(rename = "s")]
    pub slot_servers: f32,
    /// Prefill time of a long prompt of the class that isn't exceptional, in ms.
    #[serde(rename = "p")]
    pub prefill_ms: f32,
    /// Fraction of the class's responses with a pause above the target if it shared all servers.
    #[serde(rename = "d")]
    pub disturbed: f32,
    /// Fraction of the class's responses with a pause above the target at the servers that it has to itself; older
    /// builds don't send it.
    #[serde(rename = "o", default)]
    pub crowded: f32,
}

impl ClassSummary {
    /// Servers that the class keeps busy. Under load, when the prefill rate is underestimated, the
    /// figures of all classes are too large by a common factor.
    #[must_use]
    pub const fn servers(&self) -> f32 {
        self.prefill_servers.max(self.slot_servers)
    }

    fn is_valid(&self) -> bool {
        let values = [
            self.prefill_servers,
            self.slot_servers,
            self.prefill_ms,
            self.disturbed,
            self.crowded,
        ];
        self.gap_ms > 0.0 && values.iter().all(|v| v.is_finite() && *v >= 0.0)
    }

    fn approach(&mut self, other: &Self, weight: f32) {
        let approach = |value: &mut f32, other: f32| *value += weight * (other - *value);
        self.gap_ms = other.gap_ms;
        approach(&mut self.prefill_servers, other.prefill_servers);
        approach(&mut self.slot_servers, other.slot_servers);
        approach(&mut self.prefill_ms, other.prefill_ms);
        approach(&mut self.disturbed, other.disturbed);
        approach(&mut self.crowded, other.crowded);
    }
}

/// Demand of the average instance for the servers of one pool, by class.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    classes: BTreeMap<SmolStr, ClassSummary>,
}

impl FleetDemand {
    /// Moves the mean towards the demand that this instance observes.
    pub fn observe(&mut self, own: impl Iterator<Item = ClassSummary>) {
        let own: Vec<ClassSummary> = own.collect();
        for mean in self.classes.values_mut() {
            if !own.iter().any(|o| o.class == mean.class) {
                mean.prefill_servers *= 1.0 - OWN_WEIGHT;
                mean.slot_servers *= 1.0 - OWN_WEIGHT;
            }
        }
        self.approach(&own, OWN_WEIGHT);
        self.classes.retain(|_, mean| mean.servers() > SERVERS_MIN);
    }

    /// Moves the mean towards that of a peer.
    pub fn merge(&mut self, peer: &[ClassSummary]) {
        self.approach(peer, PEER_WEIGHT);
    }

    fn approach(&mut self, others: &[ClassSummary], weight: f32) {
        for other in others.iter().filter(|s| s.is_valid()) {
            match self.classes.get_mut(&other.class) {
                Some(mean) => mean.approach(other, weight),
                None => drop(self.classes.insert(other.class.clone(), other.clone())),
            }
        }
    }

    /// The demand of the classes with the most, in descending order.
    #[must_use]
    pub fn summaries(&self) -> Vec<ClassSummary> {
        let mut summaries: Vec<ClassSummary> = self.classes.values().cloned().collect();
        summaries.sort_by(|a, b| b.servers().total_cmp(&a.servers()));
        summaries.truncate(CLASSES_MAX);
        summaries
    }
}
