//! Refusal of requests for which the servers of a pool have too little room.

use std::time::Duration;

use log::Level as LogLevel;
use rand::RngExt;
use tokio::time::Instant;

use super::state::State;
use super::{AdmissionRequest, Pool};
use crate::error::{Fault, Kind};
use crate::event::Line;
use crate::load::prompt_placement::Prompt;
use crate::load::room::{Arrival, Decision};

/// How long the caller of a request goes on waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Time until it gives up.
    pub left: Duration,
    /// Whether it has used a part of its time before: it was refused, and comes back.
    pub returned: bool,
}

impl Pool {
    /// Checks whether there is room for a request that has run nowhere yet. Requests without a known prompt or a
    /// target for the time to the first token are not restricted.
    ///
    /// # Errors
    /// `overloaded` if there is none, with the time after which it is expected.
    pub fn check_room(
        &self,
        admission: &AdmissionRequest,
        prompt: Prompt,
        patience: Patience,
    ) -> Result<(), Fault> {
        if !self.limits.room_limit || !prompt.is_known() || admission.first_token_target.is_none() {
            return Ok(());
        }
        let now = Instant::now();
        let attributes = &admission.attributes;
        let mut state = self.lock();
        let jitter = state.rng.random_range(0.0..1.0);
        let prefill_ms = state.demand.prefill_ms(f64::from(prompt.unique));
        let arrival = Arrival {
            level: attributes.level,
            organisation: &attributes.organisation,
            tokens: prompt.shared.saturating_add(prompt.unique),
            prefill: Duration::from_secs_f64(prefill_ms / 1_000.0),
            left: patience.left,
            returned: patience.returned,
        };
        match state.room.admit(&arrival, jitter, now) {
            Decision::Admitted => Ok(()),
            Decision::Refused(after) => {
                drop(state);
                self.metrics.count("shed.room");
                let message = format!("the servers have no room for class {}", attributes.class);
                Err(Fault::new(Kind::Overloaded, message).retry_after(after))
            }
        }
    }

    /// Adapts the room to the load of the servers.
    pub(super) fn update_room(&self, state: &mut State, now: Instant) {
        if !self.limits.room_limit {
            return;
        }
        let before = state.room.is_restricted();
        state.room.update(now);
        let restricted = state.room.is_restricted();
        if restricted != before {
            let crowding = state.room.crowding(now).unwrap_or_default();
            Line::new("pool.room")
                .field("pool", &self.name)
                .field("state", if restricted { "begun" } else { "ended" })
                .field("admitted", format!("{:.2}", state.room.admitted()))
                .field("crowding", format!("{crowding:.2}"))
                .write(LogLevel::Info);
        }
    }
}
