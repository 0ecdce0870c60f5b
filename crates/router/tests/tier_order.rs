//! Ranks of requests by the levels of their organisation and route.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

#[path = "common/property.rs"]
mod property;

use jackdawtally::config::object::Level;
use jackdawtally::forward::tier_order::TierOrder;

/// Guards against the level of an organisation that replaces that of the route, so that all its classes are equal.
#[test]
fn level_of_the_route_orders_requests_of_one_organisation() {
    let order = TierOrder::new(&[Some(1), Some(0)], &[2, 0, 1]);

    let ranks = |organisation| [0, 1, 2].map(|route| order.rank(Some(organisation), route));

    let (first, second) = (ranks(0), ranks(1));
    assert!(first.is_sorted_by(|a, b| a < b), "{first:?}");
    assert!(second.is_sorted_by(|a, b| a < b), "{second:?}");
    assert!(first[2] < second[0], "{first:?} before {second:?}");
}

#[test]
fn without_organisations_the_routes_are_ordered_by_their_levels() {
    let order = TierOrder::new(&[], &[5, 2, 2, 9]);

    let ranks = [2, 5, 9].map(|route| order.rank(None, route));

    assert_eq!(ranks, [0, 1, 2]);
}

/// Guards against levels beyond the last rank that are all equal, however many are before them.
#[test]
fn many_levels_share_the_ranks_evenly() {
    let routes: Vec<Level> = (0..40).collect();
    let order = TierOrder::new(&[], &routes);

    let mut per_rank = [0; 10];
    for route in routes {
        per_rank[usize::from(order.rank(None, route))] += 1;
    }

    assert_eq!(per_rank, [4; 10]);
}

#[test]
fn ranks_never_contradict_the_levels() {
    fn property(organisations: Vec<Option<Level>>, routes: Vec<Level>) -> bool {
        let order = TierOrder::new(&organisations, &routes);
        let mut ranked: Vec<((Level, Level), Level)> = Vec::new();
        for organisation in organisations.iter().chain([&None]) {
            for route in &routes {
                let levels = (organisation.unwrap_or(*route), *route);
                ranked.push((levels, order.rank(*organisation, *route)));
            }
        }
        ranked.sort_unstable();
        ranked.is_sorted_by_key(|(_, rank)| *rank) && ranked.iter().all(|(_, rank)| *rank < 10)
    }
    property::check(property as fn(Vec<Option<Level>>, Vec<Level>) -> bool);
}
