use cassiagw_core::forwarding::ColdRateLimiter;
use std::time::{Duration, Instant};

#[test]
fn a_cold_endpoint_stays_within_its_rate_over_all_daemons() {
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
        let mut limiters =
            vec![ColdRateLimiter::new(start, start + Duration::from_secs(3)); case.daemons];
        let mut sent = Vec::new();
        for ms in 0..3_000 {
            let now = start + Duration::from_millis(ms);
            for limiter in &mut limiters {
                if limiter.may_send(now, share) {
                    limiter.on_sent(now, share);
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
fn a_warm_endpoint_is_not_limited() {
    let start = Instant::now();
    let mut limiter = ColdRateLimiter::new(start, start + Duration::from_secs(1));
    limiter.on_sent(start, 1.0);
    assert!(!limiter.may_send(start, 1.0));
    assert_eq!(limiter.wait(start, 1.0), Duration::from_secs(1));
    let warm = start + Duration::from_secs(1);
    assert!(limiter.may_send(warm, 0.0));
    limiter.extend(start + Duration::from_secs(2));
    assert!(limiter.is_cold(warm));
}
