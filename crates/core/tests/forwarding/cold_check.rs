//! When an endpoint is asked whether it has become cold.

use super::support::{engine_service, entry, plain_service};
use cassiagw_core::forwarding::{EndpointTable, Service};
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    service: Service,
    sent_ms: &'static [u64],
    /// When the endpoint says that it is cold for a second.
    cold_at_ms: Option<u64>,
    asked_ms: &'static [u64],
}

/// Guards against endpoints that are asked more often than they get requests, or than is needed.
#[test]
fn checks_follow_the_requests_at_some_distance() {
    let with_rate = || Service { health_path: Some("/health".into()), ..engine_service() };
    let cases = [
        Case {
            name: "few",
            service: with_rate(),
            sent_ms: &[0, 400],
            cold_at_ms: None,
            asked_ms: &[0, 400],
        },
        Case {
            name: "many",
            service: with_rate(),
            sent_ms: &[0, 20, 40, 60, 80, 100, 120],
            cold_at_ms: None,
            asked_ms: &[0, 60, 120],
        },
        Case {
            name: "known to be cold",
            service: with_rate(),
            sent_ms: &[0, 200, 1_000, 1_200],
            cold_at_ms: Some(100),
            asked_ms: &[0, 1_200],
        },
        Case {
            name: "no cold rate",
            service: Service { health_path: Some("/health".into()), ..plain_service() },
            sent_ms: &[0, 100],
            cold_at_ms: None,
            asked_ms: &[],
        },
        Case {
            name: "no health path",
            service: engine_service(),
            sent_ms: &[0],
            cold_at_ms: None,
            asked_ms: &[],
        },
    ];
    for Case { name, service, sent_ms, cold_at_ms, asked_ms } in cases {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut table = EndpointTable::new("z0".into());
        table.insert(start, entry("e0", &service, "z0"));
        let mut asked = Vec::new();
        for ms in sent_ms {
            if let Some(cold_at) = cold_at_ms.filter(|cold_at| cold_at <= ms) {
                table.on_cold(at(cold_at), "e0", Duration::from_secs(1));
            }
            if table.take_cold_check(at(*ms), &service, "e0") {
                asked.push(*ms);
            }
        }
        assert_eq!(asked, asked_ms, "{name}");
    }
}
