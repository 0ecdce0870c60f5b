//! The store in which the holders of duties are agreed on.

use std::fmt::Display;
use std::future::Future;

use super::Duty;
use super::lease::{Reading, Write};

/// The store of the platform that the process runs on.
pub trait DutyStore: Send + Sync {
    /// Why a call has no known outcome. The store may have carried it out, or may do so later if its condition still
    /// holds.
    type Error: Display + Send;

    /// Reads the object of a duty, up to date.
    fn read(&self, duty: Duty) -> impl Future<Output = Result<Reading, Self::Error>> + Send;

    /// Writes the object of a duty if its condition holds. Returns the object after the call, whether this wrote it or
    /// not.
    fn write(
        &self,
        duty: Duty,
        write: &Write,
    ) -> impl Future<Output = Result<Reading, Self::Error>> + Send;
}
