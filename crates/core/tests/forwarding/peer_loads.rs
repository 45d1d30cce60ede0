//! Sums of the loads that other daemons report.

use cassiagw_core::forwarding::{EndpointWork, PeerLoads};
use proptest::prelude::*;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

const MAX_AGE: Duration = Duration::from_millis(1_500);

/// A report of a daemon: when it is heard, how old it is then, and its requests by endpoint.
type Report = (u64, u64, u8, Vec<u32>);

fn endpoint_work(at: usize, requests: u32) -> EndpointWork {
    EndpointWork {
        endpoint: format!("e{at}").into(),
        requests,
        unread_tokens: u64::from(requests) * 100,
        memory_tokens: u64::from(requests) * 1_000,
    }
}

proptest! {
    /// Guards against sums that keep the requests of a replaced, late or expired report.
    #[test]
    fn the_total_is_that_of_the_newest_reports_which_are_not_too_old(
        reports in prop::collection::vec(
            (0u64..300, 0u64..2_000, 0u8..4, prop::collection::vec(0u32..9, 3)),
            1..60,
        ),
        later_ms in 0u64..3_000,
    ) {
        let reports: Vec<Report> = reports;
        let mut loads = PeerLoads::default();
        let mut newest: BTreeMap<u8, (Instant, Vec<u32>)> = BTreeMap::new();
        let mut now = Instant::now() + Duration::from_secs(10);
        for (after_ms, age_ms, daemon, requests) in reports {
            now += Duration::from_millis(after_ms);
            newest.retain(|_, (at, _)| now < *at + MAX_AGE);
            let at = now - Duration::from_millis(age_ms);
            let work = requests.iter().enumerate().map(|(at, count)| endpoint_work(at, *count));
            loads.record_report(now, at, format!("d{daemon}").into(), work.collect());
            if newest.get(&daemon).is_none_or(|(known, _)| at >= *known) {
                newest.insert(daemon, (at, requests));
            }
        }
        for now in [now, now + Duration::from_millis(later_ms)] {
            for endpoint in 0..3 {
                let fresh = newest.values().filter(|(at, _)| now < *at + MAX_AGE);
                let expected: u32 = fresh.map(|(_, requests)| requests[endpoint]).sum();
                let total = loads.total_at(now, &format!("e{endpoint}").into());
                prop_assert_eq!(total.requests, expected);
                prop_assert_eq!(total.unread_tokens, u64::from(expected) * 100);
                prop_assert_eq!(total.memory_tokens, u64::from(expected) * 1_000);
            }
        }
    }
}
