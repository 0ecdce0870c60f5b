//! A failed request is reported as not run only when none of its attempts can have run.

use jackdawtally::execution::ExecutionTracker;

fn tracker_with_sent_attempt() -> ExecutionTracker {
    let mut tracker = ExecutionTracker::default();
    tracker.begin_attempt();
    tracker.mark_sent();
    tracker
}

#[test]
fn rejected_first_attempt_has_not_run() {
    let mut tracker = tracker_with_sent_attempt();

    tracker.mark_not_run();

    assert!(!tracker.may_have_run());
}

#[test]
fn rejection_after_preemption_does_not_clear_earlier_attempt() {
    let mut tracker = tracker_with_sent_attempt();

    tracker.begin_attempt();
    tracker.mark_sent();
    tracker.mark_not_run();

    assert!(tracker.may_have_run());
}

#[test]
fn rejection_after_resumption_does_not_clear_run_at_other_instance() {
    let mut tracker = ExecutionTracker::resumed();

    tracker.begin_attempt();
    tracker.mark_sent();
    tracker.mark_not_run();

    assert!(tracker.may_have_run());
}

#[test]
fn unsent_attempt_has_not_run() {
    let mut tracker = ExecutionTracker::default();

    tracker.begin_attempt();

    assert!(!tracker.may_have_run());
}

#[test]
fn two_consecutive_rejections_have_not_run() {
    let mut tracker = tracker_with_sent_attempt();
    tracker.mark_not_run();

    tracker.begin_attempt();
    tracker.mark_sent();
    tracker.mark_not_run();

    assert!(!tracker.may_have_run());
}
