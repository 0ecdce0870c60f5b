//! Division of a number of servers among data centres.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::Bounds;

/// Bounds of the factor by which a data centre's share differs from that of its callers because of its price: a fifth of
/// the requests of an expensive one may go elsewhere.
const PRICE_FACTOR: (f64, f64) = (0.8, 1.25);

/// What a data centre can have of the servers.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) data_centre: SmolStr,
    /// Relative share.
    pub(super) weight: f64,
    pub(super) min: u32,
    pub(super) max: u32,
}

/// The share of each data centre: that of its callers, and somewhat more where servers are cheap.
pub(super) fn weight(bounds: &Bounds, data_centre: &str, callers: &BTreeMap<SmolStr, u32>) -> f64 {
    let callers = callers.get(data_centre).copied().unwrap_or(1).max(1);
    let prices = bounds.prices.values().filter(|price| **price > 0.0);
    let count = u32::try_from(prices.clone().count()).unwrap_or(u32::MAX);
    let mean = prices.sum::<f64>() / f64::from(count.max(1));
    let price = bounds.prices.get(data_centre).copied().unwrap_or(mean);
    let factor = if price > 0.0 { mean / price } else { 1.0 };
    f64::from(callers) * factor.clamp(PRICE_FACTOR.0, PRICE_FACTOR.1)
}

/// Divides `total` servers. One more or less changes the number of one data centre only.
pub(super) fn divide(total: u32, places: &[Place]) -> BTreeMap<SmolStr, u32> {
    let mut counts: Vec<u32> = places.iter().map(|place| place.min).collect();
    let mut left = total.saturating_sub(counts.iter().sum());
    while left > 0 {
        let open = (0..places.len()).filter(|i| counts[*i] < places[*i].max);
        let filled = |i: usize| f64::from(counts[i] + 1) / places[i].weight;
        let Some(next) = open.min_by(|a, b| filled(*a).total_cmp(&filled(*b))) else {
            break;
        };
        counts[next] += 1;
        left -= 1;
    }
    let names = places.iter().map(|place| place.data_centre.clone());
    names.zip(counts).collect()
}
