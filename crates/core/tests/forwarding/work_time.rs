//! What endpoints say of the time that work takes on their hosts, in the choice of an endpoint.

use super::support::{engine_service, entry, plain_request, plain_service, prompt};
use cassiagw_core::forwarding::{
    EndpointEntry, EndpointTable, Pick, PickRequest, Prompt, Service, WorkTime, WorkTimeEstimate,
    part_key,
};
use proptest::prelude::*;
use std::{
    cmp::Ordering::{self, Equal, Greater, Less},
    time::{Duration, Instant},
};

/// Shares of many requests, none of which occupies an endpoint, that the endpoints would get.
fn shares(table: &EndpointTable, now: Instant, service: &Service) -> [usize; 2] {
    let mut shares = [0, 0];
    for number in 0..200 {
        let prompt = prompt(&format!("part{number}"));
        let prompt: Option<&Prompt> = service.engine.is_some().then_some(&prompt);
        let part = prompt.and_then(|prompt| part_key("m/1/", prompt));
        let req = PickRequest { prompt, part, tie_breaker: number, ..plain_request(service) };
        let Pick::Endpoint(picked) = table.pick(now, &req) else { panic!("all have room") };
        shares[usize::from(&*picked.entry.id == "e1")] += 1;
    }
    shares
}

/// What the first of two endpoints says.
struct Case {
    percent: f64,
    age_ms: u64,
    is_used: bool,
    /// Requests to it, compared with those that it gets without a figure.
    expected: Ordering,
}

const fn case(percent: f64, age_ms: u64, is_used: bool, expected: Ordering) -> Case {
    Case { percent, age_ms, is_used, expected }
}

/// Guards against requests sent to a host that is slow at the moment, and against influence of
/// figures that are absurd or old.
#[test]
fn requests_go_to_the_faster_host_while_its_figure_is_recent() {
    let cases = [
        case(100.0, 0, true, Equal),
        case(300.0, 0, true, Less),
        case(300.0, 100, true, Less),
        case(300.0, 200, true, Equal),
        case(300.0, 60_000, true, Equal),
        case(60.0, 0, true, Greater),
        case(60.0, 200, true, Equal),
        case(0.0, 0, false, Equal),
        case(9.0, 0, false, Equal),
        case(1_001.0, 0, false, Equal),
        case(-300.0, 0, false, Equal),
        case(f64::MAX, 0, false, Equal),
        case(f64::INFINITY, 0, false, Equal),
        case(f64::NAN, 0, false, Equal),
    ];
    for service in [plain_service(), engine_service()] {
        let usual = {
            let now = Instant::now();
            let mut table = EndpointTable::new("z0".into());
            ["e0", "e1"].iter().for_each(|id| table.insert(now, entry(id, &service, "z0")));
            shares(&table, now, &service)[0]
        };
        for Case { percent, age_ms, is_used, expected } in &cases {
            let now = Instant::now();
            let mut table = EndpointTable::new("z0".into());
            ["e0", "e1"].iter().for_each(|id| table.insert(now, entry(id, &service, "z0")));
            let first = entry("e0", &service, "z0");
            assert_eq!(table.on_work_time(now, &first, *percent), *is_used, "{percent}");
            let at = now + Duration::from_millis(*age_ms);
            assert_eq!(table.known_work_times(at), usize::from(*is_used && *age_ms < 200));
            let first = shares(&table, at, &service)[0];
            assert_eq!(
                first.cmp(&usual),
                *expected,
                "{percent} % of {age_ms} ms at {}",
                service.name
            );
            assert!(*expected == Equal || first.abs_diff(usual) >= 15, "{percent} %: {first}");
        }
    }
}

/// Guards against a hostile endpoint that draws all requests by calling itself fast.
#[test]
fn a_fast_endpoint_gets_at_most_twice_the_load() {
    let now = Instant::now();
    let service = plain_service();
    let mut table = EndpointTable::new("z0".into());
    ["e0", "e1"].iter().for_each(|id| table.insert(now, entry(id, &service, "z0")));
    table.on_work_time(now, &entry("e0", &service, "z0"), 10.0);
    table.on_answer(now, "e1", Some((6, 0)));
    table.on_answer(now, "e0", Some((6, 6)));
    assert_eq!(shares(&table, now, &service)[1], 0, "twice as fast, twice the load");
    table.on_answer(now, "e0", Some((6, 8)));
    assert_eq!(shares(&table, now, &service)[0], 0);
}

/// Guards against a slow host's figure that is applied to the process that follows it.
#[test]
fn a_new_boot_starts_with_the_usual_time() {
    let now = Instant::now();
    let service = plain_service();
    let mut table = EndpointTable::new("z0".into());
    let former = entry("e0", &service, "z0");
    let new = EndpointEntry { started_unix_ms: Some(2), ..former.clone() };
    table.insert(now, former.clone());
    assert!(table.on_work_time(now, &former, 300.0));
    table.insert(now, new.clone());
    assert_eq!(table.work_time(now, "e0"), None);
    assert!(!table.on_work_time(now, &former, 300.0), "a late answer of the former boot");
    assert!(table.on_work_time(now, &new, 200.0));
    let sample = table.work_time(now + Duration::from_millis(50), "e0").expect("a sample");
    assert_eq!((sample.percent, sample.age), (200.0, Duration::from_millis(50)));
}

proptest! {
    /// Guards against factors that are negative, unbounded or do not return to the usual time.
    #[test]
    fn the_factor_is_bounded_and_returns_to_the_usual_time(
        figures in prop::collection::vec((any::<f64>(), 0u64..2_000), 0..20),
    ) {
        let start = Instant::now();
        let mut estimate = WorkTimeEstimate::default();
        for (percent, at_ms) in figures {
            if let Some(sample) = WorkTime::from_percent(percent) {
                estimate.add_sample(start + Duration::from_millis(at_ms), sample);
            }
        }
        let mut distance = f64::INFINITY;
        for ms in (2_000..2_700).step_by(50) {
            let factor = estimate.factor(start + Duration::from_millis(ms));
            prop_assert!((0.5..=4.0).contains(&factor));
            prop_assert!((factor - 1.0).abs() <= distance);
            distance = (factor - 1.0).abs();
        }
        prop_assert_eq!(distance, 0.0);
    }
}
