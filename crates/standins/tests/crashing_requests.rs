//! Simulated fleets of 1 to 490 instances before servers that crash: with and without a request that comes again and
//! causes the crashes.

mod crash_fleet;

use std::time::Duration;

use crash_fleet::{CRASHING, LOAD, Load};
use jackdawtally::quarantine::{RequestIdentity, Standing};
use jackdawtally_standins::crash_check::Cause;

const REQUESTS: Load = Load {
    cause: Cause::Request,
    ..LOAD
};

/// Each instance saw the crashing request once or not at all, and sound requests that came again were open beside it.
#[test]
fn crashing_request_alone_is_quarantined_in_fleets_of_all_sizes() {
    let loads = [
        (1, 3, 1.0, 2.0),
        (1, 12, 3.0, 2.0),
        (3, 12, 2.0, 0.5),
        (6, 3, 3.0, 4.0),
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
            ..REQUESTS
        };

        crash_fleet::check_crashing(load, 3);
    }
}

/// Crashes with other causes, in series and many at once, met a sound request and its repeats.
#[test]
fn power_losses_quarantine_no_request() {
    let fleets = [
        (1, 3, 3.0),
        (6, 12, 1.0),
        (6, 12, 10.0),
        (59, 60, 30.0),
        (59, 300, 1.0),
    ];
    for (instances, servers, open) in fleets {
        let load = Load {
            instances,
            servers,
            open,
            power_loss: Some(Duration::from_millis(1_500)),
            ..REQUESTS
        };

        crash_fleet::check_unrelated(load, 3);
    }
}

/// An instance that lost its connections for another reason reported crashes of servers that others saw respond.
#[test]
fn false_reports_of_one_instance_quarantine_no_request() {
    for instances in [3, 6, 59] {
        let load = Load {
            instances,
            open: 10.0,
            false_reports: true,
            ..REQUESTS
        };

        crash_fleet::check_unrelated(load, 3);
    }
}

/// The crashing request before and after an instance started: it knew of no crash itself.
#[test]
fn instance_that_starts_learns_of_the_quarantine_from_its_first_link() {
    let load = Load {
        crashing_rate: 4.0,
        ..REQUESTS
    };
    let identity = RequestIdentity {
        request: Some(CRASHING),
        ..RequestIdentity::default()
    };

    let standing = crash_fleet::standing_after_start(load, &identity);

    let Standing::Quarantined(quarantined) = standing else {
        panic!("{standing:?}");
    };
    assert_eq!(quarantined.id, CRASHING);
}
