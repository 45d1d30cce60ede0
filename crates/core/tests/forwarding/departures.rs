//! Endpoints that left before the store came back from an older copy.

use super::support::{entry, plain_service};
use cassiagw_core::forwarding::Departures;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    listed_start: Option<u64>,
    /// Time since the departure, in seconds.
    after_s: u64,
    is_written_again: bool,
    has_left: bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "same boot",
        listed_start: Some(5),
        after_s: 9,
        is_written_again: false,
        has_left: true,
    },
    Case {
        name: "later boot",
        listed_start: Some(6),
        after_s: 9,
        is_written_again: false,
        has_left: false,
    },
    Case {
        name: "written again",
        listed_start: Some(5),
        after_s: 9,
        is_written_again: true,
        has_left: false,
    },
    Case {
        name: "long ago",
        listed_start: Some(5),
        after_s: 121,
        is_written_again: false,
        has_left: false,
    },
];

#[test]
fn only_the_boot_that_left_is_remembered() {
    for case in CASES {
        let now = Instant::now();
        let mut departures = Departures::default();
        let mut left = entry("e1", &plain_service(), "z0");
        left.started_unix_ms = Some(5);
        departures.on_left(now, &left);
        if case.is_written_again {
            departures.on_ready(&left.id);
        }
        let mut listed = left;
        listed.started_unix_ms = case.listed_start;
        let later = now + Duration::from_secs(case.after_s);
        assert_eq!(departures.has_left(later, &listed), case.has_left, "{}", case.name);
    }
}
