//! Tests that log lines suffice to explain the outcome of a request.

use jackdawtally::explain::{Entry, Explanation};

const LOG: &str = "\
  1.2 front-2 time=2026-01-01T00:00:02.000Z level=warn instance=front-2 event=request.end id=r1 route=a \
tier=1 config=7 outcome=refused cause=\"outcome_unknown: no_answer\" status=502 ran=unknown took_ms=812 \
waited_ms=3 attempts=w1@0@4ms:no_answer
time=2026-01-01T00:00:01.000Z level=info instance=front-2 event=request.again id=r1 server=w1@0 \
cause=no_answer allowed=false sendings=1 left_ms=2188
time=2026-01-01T00:00:01.500Z level=info instance=front-1 event=request.end id=r2 outcome=answered \
status=200 took_ms=5 waited_ms=0 attempts=w2@0@1ms:ok
time=2026-01-01T00:00:01.700Z level=warn instance=front-1 event=request.refused id=r3 path=/x \
cause=unauthorized config=9
other text
";

#[test]
fn lines_of_one_request_are_collected_in_order_of_time() {
    let explanation = Explanation::collect("r1", LOG.lines());

    let events: Vec<&str> = explanation.entries.iter().map(|e| e.get("event")).collect();
    assert_eq!(events, ["request.again", "request.end"]);
}

#[test]
fn summary_describes_outcome_and_cause() {
    let cases = [
        (
            "r1",
            "rejected with status 502 after 812 ms, of which 3 ms waiting for a backend server; cause: \
             outcome_unknown: no_answer; executed: unknown; sent to w1@0 at 4ms: no_answer",
        ),
        (
            "r2",
            "answered with status 200 after 5 ms, of which 0 ms waiting for a backend server; sent to \
             w2@0 at 1ms: ok",
        ),
        (
            "r3",
            "rejected before its route and organisation were determined: unauthorized (configuration 9)",
        ),
    ];

    for (id, expected) in cases {
        let explanation = Explanation::collect(id, LOG.lines());

        assert_eq!(explanation.summary().as_deref(), Some(expected));
    }
    assert_eq!(Explanation::collect("r9", LOG.lines()).summary(), None);
}

#[test]
fn escaped_quotes_in_values_are_decoded() {
    let entry =
        Entry::parse("time=t event=e reason=\"a \\\"b\\\" = c\" x=y").expect("the line is valid");

    assert_eq!(entry.get("reason"), "a \"b\" = c");
    assert_eq!(entry.get("x"), "y");
}
