use cassiagw_core::forwarding::ColdRate;
use std::time::{Duration, Instant};

#[test]
fn a_cold_endpoint_gets_no_more_than_its_rate_from_all_daemons() {
    struct Case {
        daemons: usize,
        per_s: f64,
    }
    for case in [
        Case { daemons: 1, per_s: 9.6 },
        Case { daemons: 4, per_s: 9.6 },
        Case { daemons: 11, per_s: 9.6 },
    ] {
        let start = Instant::now();
        let share = case.per_s / case.daemons as f64;
        let mut rates = vec![ColdRate::new(start, start + Duration::from_secs(3)); case.daemons];
        let mut sent = Vec::new();
        for ms in 0..3_000 {
            let now = start + Duration::from_millis(ms);
            for rate in &mut rates {
                if rate.may_send(now, share) {
                    rate.on_sent(now, share);
                    sent.push(now);
                }
            }
        }
        let busiest = sent.iter().map(|from| {
            sent.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
        });
        let busiest = busiest.max().unwrap_or_default() as f64;
        // The agreed bound is 1.5 times the rate plus 5 requests.
        assert!(busiest <= case.per_s * 1.5 + 5.0, "{} daemons: {busiest}", case.daemons);
    }
}

#[test]
fn a_warm_endpoint_is_not_bound() {
    let start = Instant::now();
    let mut rate = ColdRate::new(start, start + Duration::from_secs(1));
    rate.on_sent(start, 1.0);
    assert!(!rate.may_send(start, 1.0));
    assert_eq!(rate.wait(start, 1.0), Duration::from_secs(1));
    let warm = start + Duration::from_secs(1);
    assert!(rate.may_send(warm, 0.0));
    rate.extend(start + Duration::from_secs(2));
    assert!(rate.is_cold(warm));
}
