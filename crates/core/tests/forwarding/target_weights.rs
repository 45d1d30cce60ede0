use super::support::{MODEL, engine_service, entry, prompt};
use cassiagw_core::forwarding::{EndpointTable, Pick, PickRequest};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(6);

/// Announcement of a weight version, `after` the start of the test.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    after: Duration,
    version: u64,
}

const fn named(after_ms: u64, version: u64) -> Announcement {
    Announcement { after: Duration::from_millis(after_ms), version }
}

fn announce(table: &mut EndpointTable, start: Instant, announcement: Announcement) {
    let now = start + announcement.after;
    table.set_target_version(now, MODEL.into(), announcement.version, true);
}

/// Guards against a replica with the oldest weights getting requests again, for as long as after the
/// first announcement, each time that a newer version is named.
#[test]
fn a_later_announcement_does_not_bring_older_weights_back_into_use() {
    struct Case {
        name: &'static str,
        announced: Vec<Announcement>,
        /// Version of the only endpoint.
        version: u64,
        /// Time after the start at which the last request is sent to it, and at which none is.
        used_at: Duration,
        unused_at: Duration,
    }
    const MS: fn(u64) -> Duration = Duration::from_millis;
    let cases = [
        Case {
            name: "one version",
            announced: vec![named(0, 2)],
            version: 1,
            used_at: MS(4_000),
            unused_at: MS(6_000),
        },
        Case {
            name: "a third version before the second is in place",
            announced: vec![named(0, 2), named(5_800, 3)],
            version: 1,
            used_at: MS(4_000),
            unused_at: MS(6_000),
        },
        Case {
            name: "the second version has its time from the third on",
            announced: vec![named(0, 2), named(5_800, 3)],
            version: 2,
            used_at: MS(9_800),
            unused_at: MS(11_800),
        },
        Case {
            name: "versions in a row, each while the one before it may be used",
            announced: vec![named(0, 2), named(2_000, 3), named(4_000, 4), named(5_900, 5)],
            version: 1,
            used_at: MS(4_000),
            unused_at: MS(6_000),
        },
        Case {
            name: "a version in the middle of the row",
            announced: vec![named(0, 2), named(2_000, 3), named(4_000, 4), named(5_900, 5)],
            version: 3,
            used_at: MS(8_000),
            unused_at: MS(10_000),
        },
        Case {
            name: "versions that are left out",
            announced: vec![named(0, 4), named(5_000, 9)],
            version: 3,
            used_at: MS(4_000),
            unused_at: MS(6_000),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let is_used = |at: Duration| {
            let service = engine_service();
            let mut table = EndpointTable::new("z0".into());
            let mut only = entry("e0", &service, "z0");
            only.weights = vec![(MODEL.into(), case.version)];
            table.insert(start, only);
            let so_far = case.announced.iter().filter(|announcement| announcement.after <= at);
            so_far.for_each(|announcement| announce(&mut table, start, *announcement));
            let prompt = prompt("s");
            let req = PickRequest {
                may_expose: false,
                service: &service,
                prompt: Some(&prompt),
                part: None,
                stored_in: &[],
                excluded: &[],
                versions: None,
                old_weights_limit: LIMIT,
                tie_breaker: 7,
            };
            matches!(table.pick(start + at, &req), Pick::Endpoint(_))
        };
        assert!(is_used(case.used_at), "{}: refused too early", case.name);
        assert!(!is_used(case.unused_at), "{}: used too late", case.name);
    }
}

/// Guards against a daemon that starts long after an update giving an engine that came back with
/// older weights the whole time of a new update.
#[test]
fn an_update_of_unknown_time_is_not_recent_once_half_of_the_engines_have_it() {
    struct Case {
        name: &'static str,
        target: u64,
        versions: &'static [u64],
        is_just_announced: bool,
        /// Whether an engine with the initial version may still get requests.
        is_old_used: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "just named", target: 2, versions: &[2, 2, 2, 1], is_just_announced: true, is_old_used: true },
        Case { name: "three of four have it", target: 2, versions: &[2, 2, 2, 1], is_just_announced: false, is_old_used: false },
        Case { name: "half have a newer one", target: 2, versions: &[3, 3, 1, 1], is_just_announced: false, is_old_used: false },
        Case { name: "the rollout has begun", target: 2, versions: &[2, 1, 1, 1], is_just_announced: false, is_old_used: true },
        Case { name: "no engine has it", target: 2, versions: &[1, 1, 1], is_just_announced: false, is_old_used: true },
        Case { name: "half have the version before, which came after the initial one", target: 5, versions: &[4, 4, 5, 1], is_just_announced: false, is_old_used: false },
        Case { name: "no engine is known", target: 2, versions: &[], is_just_announced: false, is_old_used: true },
    ];
    for case in cases {
        let now = Instant::now();
        let service = engine_service();
        let mut table = EndpointTable::new("z0".into());
        for (index, version) in case.versions.iter().enumerate() {
            let mut engine = entry(&format!("e{index}"), &service, "z0");
            engine.weights = vec![(MODEL.into(), *version)];
            table.insert(now, engine);
        }
        table.set_target_version(now, MODEL.into(), case.target, case.is_just_announced);
        table.settle_updates(now);
        let deadline = table.start_deadline(MODEL, Some(1), LIMIT);
        assert_eq!(deadline.is_some_and(|at| now < at), case.is_old_used, "{}", case.name);
    }
}

proptest! {
    /// Guards against any series of announcements giving a request that waits at an engine, or is
    /// about to be sent there, more time than the first newer version left it.
    #[test]
    fn more_announcements_never_extend_the_time_of_a_version(
        steps in prop::collection::vec((0u64..4_000, 0u64..4, any::<bool>()), 1..60),
    ) {
        let start = Instant::now();
        let mut table = EndpointTable::new("z0".into());
        let service = engine_service();
        table.insert(start, entry("e0", &service, "z0"));
        let mut now = start;
        let mut version = 1;
        let mut deadlines: Vec<Option<Instant>> = vec![None; 200];
        for (gap_ms, step, is_just_announced) in steps {
            now += Duration::from_millis(gap_ms);
            version += step;
            table.set_target_version(now, MODEL.into(), version, is_just_announced);
            table.on_weights(now, "e0", &MODEL.into(), version - step / 2);
            table.settle_updates(now);
            for (old, known) in deadlines.iter_mut().enumerate().skip(1) {
                let deadline = table.start_deadline(MODEL, Some(old as u64), LIMIT);
                prop_assert_eq!(deadline.is_some(), (old as u64) < version);
                if let Some(known) = *known {
                    prop_assert!(deadline <= Some(known), "version {}", old);
                }
                *known = deadline;
            }
        }
    }
}
