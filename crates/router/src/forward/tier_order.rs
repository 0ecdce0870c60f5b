//! The order of requests by importance. The level of their organisation comes first; that of their route orders the
//! requests of organisations with the same level.

use crate::config::object::Level;

/// Ranks that backend servers and instances tell apart.
const RANKS: usize = 10;

/// Ranks the requests of a configuration, from 0 for the most important.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TierOrder {
    /// The levels of organisation and route of all requests that the configuration allows, in order.
    levels: Vec<(Level, Level)>,
}

impl TierOrder {
    /// Ranks the requests of these organisations on these routes, given by their levels. An organisation without a
    /// level, or a request without an organisation, takes that of the route.
    #[must_use]
    pub fn new(organisations: &[Option<Level>], routes: &[Level]) -> Self {
        let mut levels: Vec<(Level, Level)> = organisations
            .iter()
            .chain([&None])
            .flat_map(|organisation| routes.iter().map(|route| key(*organisation, *route)))
            .collect();
        levels.sort_unstable();
        levels.dedup();
        Self { levels }
    }

    /// The rank of a request. Requests of neighbouring levels share a rank if there are more than `RANKS`
    /// combinations of levels.
    #[must_use]
    pub fn rank(&self, organisation: Option<Level>, route: Level) -> Level {
        let levels = self.levels.len();
        let before = key(organisation, route);
        let position = self.levels.partition_point(|known| *known < before);
        let rank = match levels {
            ..=RANKS => position,
            _ => position * RANKS / levels,
        };
        Level::try_from(rank).unwrap_or(Level::MAX)
    }
}

/// What requests are ordered by.
fn key(organisation: Option<Level>, route: Level) -> (Level, Level) {
    (organisation.unwrap_or(route), route)
}
