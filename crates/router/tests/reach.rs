//! What may be said of a request that failed: "not run" only when no attempt can have run.

use jackdawtally::execution::ExecutionTracker;

fn after_one_that_ran() -> ExecutionTracker {
    let mut execution = ExecutionTracker::default();
    execution.begin_attempt();
    execution.mark_sent();
    execution
}

#[test]
fn a_refused_first_attempt_was_not_run() {
    let mut execution = after_one_that_ran();

    execution.mark_not_run();

    assert!(!execution.may_have_run());
}

#[test]
fn a_refusal_after_a_preemption_leaves_the_attempt_before_it_possible() {
    let mut execution = after_one_that_ran();

    execution.begin_attempt();
    execution.mark_sent();
    execution.mark_not_run();

    assert!(execution.may_have_run());
}

#[test]
fn a_refusal_after_a_resumption_leaves_what_ran_elsewhere_possible() {
    let mut execution = ExecutionTracker::resumed();

    execution.begin_attempt();
    execution.mark_sent();
    execution.mark_not_run();

    assert!(execution.may_have_run());
}

#[test]
fn an_attempt_that_was_never_sent_leaves_nothing_possible() {
    let mut execution = ExecutionTracker::default();

    execution.begin_attempt();

    assert!(!execution.may_have_run());
}

#[test]
fn two_refusals_in_a_row_were_not_run() {
    let mut execution = after_one_that_ran();
    execution.mark_not_run();

    execution.begin_attempt();
    execution.mark_sent();
    execution.mark_not_run();

    assert!(!execution.may_have_run());
}
