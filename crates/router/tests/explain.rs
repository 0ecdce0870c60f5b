//! From a request's id to its cause, by the lines alone.

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
fn lines_of_one_request_are_collected_in_order() {
    let explanation = Explanation::collect("r1", LOG.lines());

    let events: Vec<&str> = explanation.entries.iter().map(|e| e.get("event")).collect();
    assert_eq!(events, ["request.again", "request.end"]);
}

#[test]
fn outcome_and_cause_are_stated_in_words() {
    let cases = [
        (
            "r1",
            "refused with status 502 after 812 ms, 3 ms of them waiting for a server; cause: \
             outcome_unknown: no_answer; did it run: unknown; sent to w1@0 at 4ms: no_answer",
        ),
        (
            "r2",
            "answered with status 200 after 5 ms, 0 ms of them waiting for a server; sent to w2@0 at \
             1ms: ok",
        ),
        (
            "r3",
            "refused before it had a route and an owner: unauthorized (configuration 9)",
        ),
    ];

    for (id, words) in cases {
        let explanation = Explanation::collect(id, LOG.lines());

        assert_eq!(explanation.summary().as_deref(), Some(words));
    }
    assert_eq!(Explanation::collect("r9", LOG.lines()).summary(), None);
}

#[test]
fn quoted_values_are_read_back() {
    let entry = Entry::parse("time=t event=e reason=\"a \\\"b\\\" = c\" x=y").expect("a line");

    assert_eq!(entry.get("reason"), "a \"b\" = c");
    assert_eq!(entry.get("x"), "y");
}
