//! How many backend servers of a pool each data centre should have, decided from the demand of the whole fleet.
//!
//! The decision lags behind growth by a fraction of the time that a server takes to start, and behind a decline by
//! several such times. So neither a short burst nor a wave changes it, while a jump that lasts is followed.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::load::fleet_demand::ClassSummary;

mod allocation;
mod demand_window;
mod planner;
mod standing;

pub use planner::Planner;

/// Fraction of the servers' time that the demand may take, so that prompts seldom wait for others.
const UTILISATION: f64 = 0.6;
/// The same while the spot servers of a data centre are missing.
const LOSS_UTILISATION: f64 = 0.8;

/// An order for servers of one kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Name of the pool.
    pub pool: SmolStr,
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// Whether servers are meant that the platform may take back at short notice.
    pub spot: bool,
    /// Number of such servers that the data centre should have.
    pub count: u32,
}

/// Why something is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// More servers are wanted than were ordered before.
    Growth,
    /// Fewer are wanted.
    Decline,
    /// The servers that were ordered aren't there, or it isn't known whether the order was taken.
    Repeat,
}

impl Reason {
    /// The name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Growth => "growth",
            Self::Decline => "decline",
            Self::Repeat => "repeat",
        }
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform carries it out.
    Taken,
    /// There are none of the servers at the moment.
    NoneAvailable,
    /// It may have been taken, or may be later.
    Unknown,
    /// Nothing was done.
    Refused,
}

/// What a configuration says of the number of a pool's servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Fewest servers of both kinds together, for each data centre.
    pub min: u32,
    /// Most servers of both kinds together, for each data centre.
    pub max: u32,
    /// Time that a server takes to start.
    pub boot: Duration,
    /// Price of a server by data centre.
    pub prices: BTreeMap<SmolStr, f64>,
    /// Price of a spot server as a fraction of the price of others; `None` if there are none.
    pub spot_price: Option<f64>,
}

impl Bounds {
    /// Time for which more demand must last before more servers are ordered for it.
    fn growth_time(&self) -> Duration {
        (self.boot / 2).clamp(Duration::from_secs(1), Duration::from_secs(30))
    }

    /// Time without trouble, and with less demand, before fewer servers are ordered.
    fn calm_time(&self) -> Duration {
        self.boot
            .saturating_mul(3)
            .clamp(Duration::from_secs(10), Duration::from_mins(10))
    }

    /// Time after which servers that were ordered, or that crashed, should be there.
    fn start_time(&self) -> Duration {
        let boot = self.boot.min(Duration::from_mins(10));
        boot * 2 + Duration::from_secs(2)
    }

    /// Whether spot servers exist and cost less than others.
    fn has_spot(&self) -> bool {
        self.spot_price.is_some_and(|price| price < 1.0)
    }
}

/// Servers of one kind in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// Whether the platform may take them back at short notice.
    pub spot: bool,
}

/// Servers of a group that are there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// Servers that take requests.
    pub ready: u32,
    /// Servers that finish their requests and leave.
    pub leaving: u32,
}

/// Signs that requests wait for servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Whether this instance holds requests back for more important ones.
    pub held: bool,
    /// Whether any instance rejects requests.
    pub rejected: bool,
    /// Requests that wait at servers, by their last reports.
    pub requests: u32,
    /// Servers that reported lately.
    pub reports: u32,
}

impl Waiting {
    /// Whether so many requests wait that the servers are too few.
    #[must_use]
    pub const fn is_overload(&self) -> bool {
        self.held || self.rejected || (self.reports > 0 && self.requests > self.reports)
    }
}

/// What is known of a pool at a time.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Servers that the demand of the fleet keeps busy; `None` if it isn't known.
    pub busy: Option<f64>,
    /// Signs that requests wait.
    pub waiting: Waiting,
    /// The servers that are there.
    pub present: BTreeMap<Group, Present>,
    /// Instances by data centre, as a measure of the callers there.
    pub instances: BTreeMap<SmolStr, u32>,
}

/// Servers that the whole fleet keeps busy if the average instance has this demand; `None` if no demand is known.
/// In overload the figure is too low by prefill, as only what was sent counts, and too high by slots, as what waits at
/// servers counts too.
#[must_use]
pub fn busy_servers(classes: &[ClassSummary], instances: u32) -> Option<f64> {
    let servers: f64 = classes.iter().map(|c| f64::from(c.servers())).sum();
    (servers > 0.0).then_some(servers * f64::from(instances))
}

/// The number of servers that bear `busy` ones at a utilisation.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates at the bounds of the type"
)]
fn servers_for(busy: f64, utilisation: f64) -> u32 {
    (busy / utilisation).ceil() as u32
}
