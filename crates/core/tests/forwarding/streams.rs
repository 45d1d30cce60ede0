//! At which software version streams begin, and where they go on.

use cassiagw_core::{
    forwarding::{
        AnnouncementStep, ListedVersion, ResumeDecision, ResumeInputs, ResumeRefusal,
        ServedVersions, StreamOrigin, StreamOrigins, stream_holders,
    },
    ids::{DaemonId, FastSet, ServiceVersion},
};
use std::time::{Duration, Instant};

const LIFETIME: Duration = Duration::from_secs(6);

/// Versions with the numbers of their endpoints that accept requests.
type Listed = &'static [(&'static str, usize)];

/// What one daemon learns at a time after its start.
struct News {
    at_ms: u64,
    listed: Listed,
    announced: &'static [&'static str],
}

const fn news(at_ms: u64, listed: Listed, announced: &'static [&'static str]) -> News {
    News { at_ms, listed, announced }
}

fn versions(names: &[&str]) -> Vec<ServiceVersion> {
    names.iter().map(|name| (*name).into()).collect()
}

fn listed(listed: Listed) -> Vec<ListedVersion> {
    let version = |(version, ready): &(&str, usize)| ListedVersion {
        version: (*version).into(),
        ready: *ready,
    };
    listed.iter().map(version).collect()
}

/// State of a daemon after some news, and the time of the last of them.
fn after(all: &[News]) -> (ServedVersions, Instant) {
    let start = Instant::now();
    let mut served = ServedVersions::new(start, LIFETIME);
    let mut now = start;
    for news in all {
        now = start + Duration::from_millis(news.at_ms);
        served.on_announced(now, versions(news.announced));
        served
            .on_listed(now, listed(news.listed).into_iter().map(|listed| listed.version).collect());
    }
    (served, now)
}

#[test]
fn only_a_version_that_has_served_alone_is_known_to_have_begun_a_stream() {
    struct Case {
        name: &'static str,
        news: Vec<News>,
        only: Option<&'static str>,
    }
    const BOTH: Listed = &[("v1", 2), ("v2", 2)];
    const OLD: Listed = &[("v1", 4)];
    const NEW: Listed = &[("v2", 4)];
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing is listed", news: vec![news(0, &[], &[])], only: None },
        Case { name: "one version", news: vec![news(0, OLD, &[])], only: Some("v1") },
        Case { name: "its endpoints are away", news: vec![news(0, OLD, &[]), news(100, &[], &[])], only: Some("v1") },
        Case { name: "two versions", news: vec![news(0, BOTH, &[])], only: None },
        Case { name: "the older one has just left", news: vec![news(0, BOTH, &[]), news(100, NEW, &[])], only: None },
        Case { name: "it left long ago", news: vec![news(0, BOTH, &[]), news(100, NEW, &[]), news(6_100, NEW, &[])], only: Some("v2") },
        Case { name: "a start after it left", news: vec![news(0, NEW, &["v1", "v2"])], only: None },
        Case { name: "a version took the place of another at once", news: vec![news(0, OLD, &[]), news(100, NEW, &[])], only: None },
        Case { name: "the announcement is gone from an older copy", news: vec![news(0, BOTH, &["v1", "v2"]), news(100, NEW, &[])], only: None },
    ];
    for Case { name, news, only } in cases {
        let (served, now) = after(&news);
        assert_eq!(served.only(now).as_deref(), only, "{name}");
    }
}

#[test]
fn streams_begin_at_a_new_version_once_all_daemons_know_of_it() {
    struct Case {
        name: &'static str,
        news: Vec<News>,
        may_begin: Option<&'static [&'static str]>,
    }
    const ONE_NEW: Listed = &[("v1", 3), ("v2", 1)];
    const MOST_NEW: Listed = &[("v1", 1), ("v2", 3)];
    const BOTH: &[&str] = &["v1", "v2"];
    const OLD: Listed = &[("v1", 4)];
    let start = || news(0, OLD, &[]);
    #[rustfmt::skip]
    let cases = [
        Case { name: "one version", news: vec![start()], may_begin: None },
        Case { name: "not announced", news: vec![start(), news(10, ONE_NEW, &[])], may_begin: Some(&["v1"]) },
        Case { name: "just announced", news: vec![start(), news(10, ONE_NEW, BOTH), news(4_009, ONE_NEW, BOTH)], may_begin: Some(&["v1"]) },
        Case { name: "announced for a while", news: vec![start(), news(10, ONE_NEW, BOTH), news(4_010, ONE_NEW, BOTH)], may_begin: None },
        Case { name: "most endpoints are new", news: vec![start(), news(10, MOST_NEW, &[])], may_begin: None },
        Case { name: "all that accept requests are new", news: vec![start(), news(10, &[("v1", 0), ("v2", 1)], &[])], may_begin: None },
        Case { name: "announced before the start", news: vec![news(0, ONE_NEW, BOTH)], may_begin: None },
        Case { name: "a third version", news: vec![news(0, ONE_NEW, BOTH), news(10, &[("v1", 2), ("v2", 2), ("v3", 1)], BOTH)], may_begin: Some(BOTH) },
    ];
    for Case { name, news, may_begin } in cases {
        let (served, now) = after(&news);
        let listed = news.last().map(|news| listed(news.listed)).unwrap_or_default();
        assert_eq!(served.may_begin(now, &listed), may_begin.map(versions), "{name}");
    }
}

#[test]
fn several_versions_are_announced_until_one_has_served_alone_for_a_lifetime() {
    use AnnouncementStep::{Remove, Write};
    struct Case {
        name: &'static str,
        news: Vec<News>,
        step: Option<AnnouncementStep>,
    }
    const BOTH: Listed = &[("v1", 2), ("v2", 2)];
    const NEW: Listed = &[("v2", 4)];
    const NAMES: &[&str] = &["v1", "v2"];
    #[rustfmt::skip]
    let cases = [
        Case { name: "one version", news: vec![news(0, NEW, &[])], step: None },
        Case { name: "two", news: vec![news(0, BOTH, &[])], step: Some(Write(versions(NAMES))) },
        Case { name: "two, announced", news: vec![news(0, BOTH, NAMES)], step: None },
        Case { name: "a third one", news: vec![news(0, &[("v1", 1), ("v2", 1), ("v3", 1)], NAMES)], step: Some(Write(versions(&["v1", "v2", "v3"]))) },
        Case { name: "replaced at once", news: vec![news(0, &[("v1", 1)], &[]), news(10, NEW, &[])], step: Some(Write(versions(NAMES))) },
        Case { name: "one has left", news: vec![news(0, BOTH, NAMES), news(10, NEW, NAMES), news(6_009, NEW, NAMES)], step: None },
        Case { name: "it left long ago", news: vec![news(0, BOTH, NAMES), news(10, NEW, NAMES), news(6_010, NEW, NAMES)], step: Some(Remove) },
        Case { name: "a start after it left", news: vec![news(0, NEW, NAMES), news(5_999, NEW, NAMES)], step: None },
        Case { name: "long after that", news: vec![news(0, NEW, NAMES), news(6_000, NEW, NAMES)], step: Some(Remove) },
        Case { name: "lost with an older copy of the store", news: vec![news(0, BOTH, NAMES), news(10, NEW, NAMES), news(20, NEW, &[])], step: Some(Write(versions(NAMES))) },
    ];
    for Case { name, news, step } in cases {
        let (served, now) = after(&news);
        assert_eq!(served.due_step(now), step, "{name}");
    }
}

fn origin(key: u64, version: &str, placement: u32) -> StreamOrigin {
    StreamOrigin { key, service: "models".into(), version: version.into(), placement }
}

#[test]
fn a_stream_goes_on_only_where_it_is_proved_to_have_begun() {
    struct Case {
        name: &'static str,
        service: &'static str,
        origin: Option<StreamOrigin>,
        only: Option<&'static str>,
        is_view_complete: bool,
        can_confirm: bool,
        can_ask: bool,
        expected: ResumeDecision,
    }
    let go_on = |version: &str| ResumeDecision::At(version.into());
    let unknown = ResumeDecision::Refuse(ResumeRefusal::UnknownVersion);
    let of_v1 = || Some(origin(1, "v1", 0));
    #[rustfmt::skip]
    let cases = [
        Case { name: "known", service: "models", origin: of_v1(), only: None, is_view_complete: true, can_confirm: true, can_ask: true, expected: go_on("v1") },
        Case { name: "known, another version serves now", service: "models", origin: of_v1(), only: Some("v2"), is_view_complete: true, can_confirm: true, can_ask: true, expected: go_on("v1") },
        Case { name: "known, the route has moved", service: "others", origin: of_v1(), only: Some("v2"), is_view_complete: true, can_confirm: true, can_ask: true, expected: ResumeDecision::Refuse(ResumeRefusal::OtherService) },
        Case { name: "one version", service: "models", origin: None, only: Some("v1"), is_view_complete: true, can_confirm: true, can_ask: true, expected: go_on("v1") },
        Case { name: "one version, as far as an old view tells", service: "models", origin: None, only: Some("v1"), is_view_complete: false, can_confirm: true, can_ask: true, expected: ResumeDecision::Confirm },
        Case { name: "one version, as far as a view tells that cannot be proved", service: "models", origin: None, only: Some("v1"), is_view_complete: false, can_confirm: false, can_ask: true, expected: ResumeDecision::Ask },
        Case { name: "two versions", service: "models", origin: None, only: None, is_view_complete: false, can_confirm: true, can_ask: true, expected: ResumeDecision::Ask },
        Case { name: "nobody knows", service: "models", origin: None, only: None, is_view_complete: true, can_confirm: true, can_ask: false, expected: unknown.clone() },
        Case { name: "nobody knows, old view", service: "models", origin: None, only: Some("v1"), is_view_complete: false, can_confirm: false, can_ask: false, expected: unknown },
    ];
    for Case { name, service, origin, only, is_view_complete, can_confirm, can_ask, expected } in
        cases
    {
        let inputs = ResumeInputs {
            service: &service.into(),
            origin: origin.as_ref(),
            only_version: only.map(Into::into),
            is_view_complete,
            can_confirm,
            can_ask,
        };
        assert_eq!(inputs.decide(), expected, "{name}");
    }
}

#[test]
fn the_latest_placement_counts_in_whatever_order_it_is_told() {
    let now = Instant::now();
    let mut placements = [origin(1, "v1", 0), origin(1, "v2", 1), origin(1, "v1", u32::MAX)];
    for _ in 0..placements.len() {
        placements.rotate_left(1);
        let mut origins = StreamOrigins::default();
        for placement in placements.clone() {
            origins.record(now, LIFETIME, placement);
        }
        assert_eq!(origins.get(now, 1), Some(&origin(1, "v1", u32::MAX)));
        assert_eq!(origins.get(now + LIFETIME, 1), None);
    }
}

#[test]
fn the_origins_that_are_held_are_bounded() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for key in 0..100_000 {
        origins.record(now, LIFETIME, origin(key, "v1", 0));
    }
    assert!(origins.of_service(now, "models").count() <= 50_000);
    assert!(origins.get(now, 99_999).is_some());
    assert_eq!(origins.get(now, 0), None);
}

#[test]
fn each_stream_has_two_holders_and_loses_only_those_that_end() {
    let daemons: Vec<DaemonId> = (0..580).map(|n| format!("daemon-{n}").into()).collect();
    let mut all = FastSet::default();
    for key in 0..2_000 {
        let holders = stream_holders(&daemons, key);
        assert_eq!(holders.len(), 2);
        let others: Vec<&DaemonId> =
            daemons.iter().filter(|daemon| **daemon != *holders[0]).collect();
        assert_eq!(stream_holders(others, key)[0], holders[1], "the other one stays");
        all.extend(holders);
    }
    assert!(all.len() > 500, "{} of 580 daemons hold origins", all.len());
}

/// Guards against resuming at the older version where a new one has not been heard of.
#[test]
fn a_stale_view_takes_no_version_for_the_only_one() {
    struct Case {
        old: usize,
        new: usize,
        /// Versions at which streams begin 0.1 s after the announcement; `None` for all.
        begin: Option<Vec<ServiceVersion>>,
    }
    const SOON: Duration = Duration::from_millis(100);
    #[rustfmt::skip]
    let cases = [
        Case { old: 6, new: 6, begin: Some(vec!["v1".into()]) },
        Case { old: 5, new: 7, begin: None },
        Case { old: 3, new: 9, begin: None },
        Case { old: 0, new: 12, begin: None },
    ];
    for Case { old, new, begin } in cases {
        let start = Instant::now();
        let mut near = ServedVersions::new(start, LIFETIME);
        near.on_listed(start, vec!["v1".into()]);
        let far = near.clone();
        near.on_listed(start, vec!["v1".into(), "v2".into()]);
        near.on_announced(start + SOON, vec!["v1".into(), "v2".into()]);
        let now = start + SOON + SOON;
        let ready = [("v1", old), ("v2", new)];
        let listed = ready.map(|(version, ready)| ListedVersion { version: version.into(), ready });
        assert_eq!(near.may_begin(now, &listed), begin, "{old} and {new}");
        let decide = |can_confirm, can_ask| {
            let inputs = ResumeInputs {
                service: &"models".into(),
                origin: None,
                only_version: far.only(now),
                is_view_complete: false,
                can_confirm,
                can_ask,
            };
            inputs.decide()
        };
        assert_eq!(far.only(now), Some("v1".into()));
        assert_eq!(decide(true, true), ResumeDecision::Confirm, "{old} and {new}");
        assert_eq!(decide(false, true), ResumeDecision::Ask, "{old} and {new}");
        let refused = ResumeDecision::Refuse(ResumeRefusal::UnknownVersion);
        assert_eq!(decide(false, false), refused, "{old} and {new}");
    }
}
