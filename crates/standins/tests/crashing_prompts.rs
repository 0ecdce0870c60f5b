//! Simulated fleets of 1 to 490 instances before servers that crash: with and without a prompt segment that
//! causes the crashes.

mod crash_fleet;

use std::time::Duration;

use crash_fleet::{CRASHING, LOAD, Load};
use jackdawtally::quarantine::{RequestIdentity, Standing};

/// Each instance saw too few crashes to act by itself, and a sound segment that many prompts share was open at all
/// of them.
#[test]
fn crashing_segment_alone_is_quarantined_in_fleets_of_all_sizes() {
    let loads = [
        (1, 12, 3.0, 2.0),
        (3, 12, 2.0, 0.5),
        (6, 12, 10.0, 4.0),
        (59, 60, 10.0, 8.0),
        (59, 140, 30.0, 4.0),
        (490, 300, 3.0, 8.0),
    ];
    for (instances, servers, open, crashing_rate) in loads {
        let load = Load {
            instances,
            servers,
            open,
            crashing_rate,
            ..LOAD
        };

        crash_fleet::check_crashing(load, 2);
    }
}

/// Crashes with other causes, in series and many at once, made whatever was open look like their cause.
#[test]
fn power_losses_quarantine_no_segment() {
    for (instances, servers, open) in [(1, 3, 3.0), (6, 12, 10.0), (59, 60, 30.0)] {
        let load = Load {
            instances,
            servers,
            open,
            power_loss: Some(Duration::from_millis(1_500)),
            ..LOAD
        };

        crash_fleet::check_unrelated(load, 2);
    }
}

/// An instance that lost its connections for another reason reported crashes of servers that others saw respond.
#[test]
fn false_reports_of_one_instance_quarantine_no_segment() {
    for instances in [3, 6, 59] {
        let load = Load {
            instances,
            open: 10.0,
            false_reports: true,
            ..LOAD
        };

        crash_fleet::check_unrelated(load, 2);
    }
}

/// The crashing requests before and after an instance started: it knew of no crash itself.
#[test]
fn instance_that_starts_learns_of_the_quarantine_from_its_first_link() {
    let load = Load {
        crashing_rate: 4.0,
        ..LOAD
    };
    let identity = RequestIdentity {
        shared: vec![10, CRASHING],
        ..RequestIdentity::default()
    };

    let standing = crash_fleet::standing_after_start(load, &identity);

    let Standing::Quarantined(quarantined) = standing else {
        panic!("{standing:?}");
    };
    assert_eq!(quarantined.id, CRASHING);
}
