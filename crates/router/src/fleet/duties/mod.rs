//! Duties: calls to the platform that one instance makes at a time for the whole fleet.
//!
//! The holder of a duty is agreed on in the platform's store and nowhere else. A [`Permission`] is what the holder
//! shows to its own code before each call; it ends before another instance may take the duty.

pub mod call;
pub mod clock;
pub mod collector;
pub mod counter;
pub mod held;
pub mod keeper;
pub mod lease;
pub mod ledger;
pub mod poll;
pub mod polling;
pub mod reporter;
pub mod scaling;
pub mod state;
pub mod store;

use std::collections::BTreeSet;
use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::load::scaling::Order;

/// Fencing token of a duty; it grows with each change of the holder.
pub type Token = u64;

/// Number of a reporting window: window `k` begins `k` times its length after the Unix epoch.
pub type WindowId = u64;

/// A duty that one instance performs at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Reports how many requests of each organisation servers began in each window.
    UsageReports,
    /// Orders backend servers.
    ServerOrders,
}

impl Duty {
    /// The name used in the store, in logs and in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UsageReports => "usage-reports",
            Self::ServerOrders => "server-orders",
        }
    }
}

/// The duties of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutySettings {
    /// Which duties there are.
    pub duties: BTreeSet<Duty>,
    /// Time after which a duty passes to another instance if its holder doesn't renew it.
    pub lease: Duration,
    /// Length of a reporting window.
    pub window: Duration,
    /// Time after the end of a window in which its report is due.
    pub due: Duration,
}

/// Requests of one organisation that servers began in a window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrganisationCount {
    /// Name of the organisation.
    pub organisation: SmolStr,
    /// Number of its requests.
    pub requests: u64,
}

/// The report of one window.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowId,
    /// The counts, ordered by organisation.
    pub counts: Vec<OrganisationCount>,
}

/// Why the platform didn't carry out a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The platform has none of the servers that were ordered at the moment.
    #[error("no servers are to be had there at the moment")]
    NoneAvailable,
    /// The platform is overloaded or limits the rate of calls; nothing was done.
    #[error("the platform is busy")]
    Busy,
    /// No response: the call may have been carried out, or may be carried out later.
    #[error("no response from the platform")]
    NoResponse,
    /// The platform refuses the call as it is.
    #[error("the platform rejects the call")]
    Rejected,
    /// The permission ended before the call was sent.
    #[error("the duty isn't held any more")]
    NotHeld,
}

/// The calls to the platform that are duties. An implementation asks `permission` again just before it writes a call,
/// after every wait, and ends the connection of a call that isn't answered within `timeout`.
pub trait DutyPlatform: Send + Sync {
    /// Sends the report of a window.
    ///
    /// # Errors
    /// Why the report wasn't taken, or isn't known to be.
    fn report_usage(
        &self,
        permission: &impl Permission,
        report: &UsageReport,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Orders a number of servers.
    ///
    /// # Errors
    /// Why the order wasn't taken, or isn't known to be.
    fn order_servers(
        &self,
        permission: &impl Permission,
        order: &Order,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), CallError>> + Send;
}

/// Permission to perform a duty, valid for a limited time.
pub trait Permission: Send + Sync {
    /// The holder's name and token if the duty is held now and still will be after `time`; `None` if not. Time in which
    /// the process or the machine was suspended counts.
    fn check(&self, time: Duration) -> Option<(SmolStr, Token)>;
}
