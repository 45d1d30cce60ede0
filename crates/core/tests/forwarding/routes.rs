use super::support::route;
use cassiagw_core::forwarding::{RouteKind, RouteTable, Target};
use std::time::Duration;

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    struct Case {
        host: &'static str,
        path: &'static str,
        found: Option<&'static str>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { host: "a.example", path: "/x/y/z", found: Some("a.example/x/y/") },
        Case { host: "a.example", path: "/x/y/", found: Some("a.example/x/y/") },
        Case { host: "a.example", path: "/x/y", found: Some("a.example/x/") },
        Case { host: "a.example", path: "/x/yy/z", found: Some("a.example/x/") },
        Case { host: "A.Example:8080", path: "/x/1", found: Some("a.example/x/") },
        Case { host: "a.example", path: "/w/1", found: None },
        Case { host: "b.example", path: "/x/1", found: Some("b.example/") },
        Case { host: "c.example", path: "/x/1", found: None },
        Case { host: "", path: "/x/1", found: None },
        Case { host: "a.example", path: "", found: None },
    ];
    let table = RouteTable::new([
        route("a.example", "/x/"),
        route("a.example", "/x/y/"),
        route("b.example", "/"),
    ]);
    for case in cases {
        let found = table.find(case.host, case.path).map(|route| route.name.to_string());
        assert_eq!(found.as_deref(), case.found, "{} {}", case.host, case.path);
    }
}

#[test]
fn targets_get_their_share() {
    let target = |service: &str, weight| Target { service: service.into(), weight };
    let mut route = route("a.example", "/");
    route.targets = vec![target("nine", 90), target("none", 0), target("one", 10)];
    let chosen = (0..1_000).filter_map(|hash| route.service(hash));
    let to_one = chosen.filter(|service| &***service == "one").count();
    assert_eq!(to_one, 100);
    route.targets.clear();
    assert_eq!(route.service(7), None);
}

#[test]
fn callers_abandon_a_stream_that_does_not_start() {
    struct Case {
        kind: RouteKind,
        target_ms: u64,
        pause_ms: Option<u64>,
        timeout_ms: Option<u64>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { kind: RouteKind::Safe, target_ms: 1_000, pause_ms: Some(300), timeout_ms: None },
        Case { kind: RouteKind::Stream, target_ms: 1_000, pause_ms: Some(300), timeout_ms: Some(4_000) },
        Case { kind: RouteKind::ResumableStream, target_ms: 500, pause_ms: Some(300), timeout_ms: Some(2_400) },
        Case { kind: RouteKind::Stream, target_ms: 100, pause_ms: None, timeout_ms: Some(2_000) },
    ];
    for case in cases {
        let mut route = route("a.example", "/");
        route.kind = case.kind;
        route.target_latency = Duration::from_millis(case.target_ms);
        route.max_pause = case.pause_ms.map(Duration::from_millis);
        assert_eq!(route.stream_start_timeout(), case.timeout_ms.map(Duration::from_millis));
    }
}
