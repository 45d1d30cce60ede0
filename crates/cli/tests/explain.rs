//! Tests of `explain`: finds the cause of a request's outcome in the logs of several daemons.

use cassiagw::commands::{Explanation, Field, LogLine};
use proptest::prelude::*;

/// Merged logs of two daemons with the prefixes of a log viewer, out of order.
const LOGS: &str = "\
 1.2 edge-a [2026-01-22T16:54:19.100Z INFO  cassiagwd::forward::forward_state]  event=endpoint_gone endpoint=m4 may_come_back=true
 0.1 edge-a [2026-01-22T16:54:09.100Z INFO  cassiagwd::forward::forward_state]  event=weights_named model=m version=2
 1.3 edge-b [2026-01-22T16:54:19.120Z INFO  cassiagwd::forward::forward_state]  event=endpoint_gone endpoint=m4 may_come_back=true
 1.4 edge-a [2026-01-22T16:54:19.000Z INFO  cassiagwd::forward::forward_state]  event=endpoint_gone endpoint=m9 may_come_back=true
 1.4 edge-a [2026-01-22T16:54:19.500Z INFO  cassiagwd::forward::request_log]  event=request id=r1 at_ms=520 outcome=outcome_unknown status=502 cause=closed late=false first_ms=none longest_pause_ms=0 target_ms=300 left_ms=980 route=x kind=unsafe service=s endpoint=none faults=m4:closed settings=3
 1.4 edge-a [2026-01-22T16:54:19.500Z INFO  cassiagwd::forward::request_record]  event=request_attempt_failed id=r1 at_ms=519 endpoint=m4 fault=closed proof=unknown next=told_unknown
 1.4 edge-a [2026-01-22T16:54:19.500Z INFO  cassiagwd::forward::request_record]  event=request_placed id=r1 at_ms=0 endpoint=m4 candidates=4 weights=none
 1.5 edge-b [2026-01-22T16:54:19.600Z INFO  cassiagwd::forward::request_log]  event=request id=r2 at_ms=900 outcome=answered status=200 cause=whole late=true first_ms=700 longest_pause_ms=12 target_ms=500 endpoint=m1
 1.5 edge-b [2026-01-22T16:54:19.600Z INFO  cassiagwd::forward::request_record]  event=request_queued id=r2 at_ms=0 ahead=7
 1.5 edge-b [2026-01-22T16:54:19.600Z INFO  cassiagwd::forward::request_record]  event=request_placed id=r2 at_ms=430 endpoint=m1 candidates=6
 1.6 edge-a [2026-01-22T16:54:19.700Z INFO  cassiagwd::forward::request_log]  event=request id=r3 outcome=refused status=503 cause=this daemon has no settings yet
not a line of a daemon, id=r1
";

#[test]
fn decisions_are_in_order_with_the_cause_last() {
    struct Case {
        id: &'static str,
        expected: &'static [&'static str],
    }
    #[rustfmt::skip]
    let cases = [
        Case { id: "r1", expected: &[
            "   before  endpoint_gone endpoint=m4 may_come_back=true",
            "     0 ms  request_placed endpoint=m4 candidates=4 weights=none",
            "   519 ms  request_attempt_failed endpoint=m4 fault=closed proof=unknown next=told_unknown",
            "   520 ms  request outcome=outcome_unknown status=502 cause=closed late=false first_ms=none longest_pause_ms=0 target_ms=300 left_ms=980 route=x kind=unsafe service=s endpoint=none faults=m4:closed settings=3",
            "cause: outcome_unknown with status 502: closed; last failed attempt: closed at m4, execution state unknown",
        ] },
        Case { id: "r2", expected: &[
            "     0 ms  request_queued ahead=7",
            "   430 ms  request_placed endpoint=m1 candidates=6",
            "   900 ms  request outcome=answered status=200 cause=whole late=true first_ms=700 longest_pause_ms=12 target_ms=500 endpoint=m1",
            "cause: answered with status 200: whole; late: placed after 430 ms, first bytes from m1 270 ms after that, longest pause 12 ms",
        ] },
        Case { id: "r3", expected: &[
            "     0 ms  request outcome=refused status=503 cause=this daemon has no settings yet",
            "cause: refused with status 503: this daemon has no settings yet",
        ] },
    ];
    for Case { id, expected } in cases {
        let explanation = Explanation::new(id, LOGS.lines()).expect("the logs contain the request");
        assert_eq!(explanation.to_string().lines().collect::<Vec<_>>(), expected, "{id}");
    }
}

#[test]
fn unknown_request_id_has_no_explanation() {
    assert!(Explanation::new("r9", LOGS.lines()).is_none());
}

#[test]
fn missing_request_end_is_reported() {
    let lines = LOGS.lines().filter(|line| !line.contains("event=request id=r2"));
    let explanation = Explanation::new("r2", lines).expect("the logs contain the request");
    assert!(explanation.cause().starts_with("end of request not logged"));
}

proptest! {
    #[test]
    fn arbitrary_lines_are_parsed(line in "\\PC{0,60}", key in "[a-z_]{1,8}", value in "[^ =\\pC]{1,8}") {
        let _ = LogLine::parse(&line);
        let line = LogLine::parse(&format!("{line}event=e {key}={value}")).expect("an event");
        prop_assert!(line.event.is_empty() || !line.event.contains(' '));
        let field = Field { key, value };
        prop_assert!(line.fields.contains(&field) || line.event != "e");
    }
}
