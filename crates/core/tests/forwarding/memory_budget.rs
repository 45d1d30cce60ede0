use cassiagw_core::forwarding::{
    BodyProgress, MemoryBudget, MemoryUser, PressureCounts, PressureEvent, PressureLog, Shortage,
};
use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

const MIB: usize = 1024 * 1024;
/// Memory of the smallest host, for bodies and answers.
const MAX_BYTES: usize = 55_000_000;
const LARGEST_BODY: usize = 4 * MIB;

fn user(workspace: &str, address: u8) -> MemoryUser {
    MemoryUser {
        workspace: workspace.into(),
        has_key: !workspace.is_empty(),
        address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, address)),
    }
}

/// Guards against a crowd that takes the memory for bodies of other workspaces or of small bodies.
#[test]
fn large_bodies_leave_room_for_others() {
    struct Case {
        name: &'static str,
        senders: Vec<MemoryUser>,
        /// Bodies of the largest size that are admitted.
        admitted: usize,
        refused_for: Shortage,
        /// Whether another workspace's largest body is still admitted.
        other_fits: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "one workspace", senders: vec![user("w1", 1)], admitted: 3, refused_for: Shortage::Workspace, other_fits: true },
        Case { name: "one workspace from many addresses", senders: (0..40).map(|n| user("w1", n)).collect(), admitted: 3, refused_for: Shortage::Workspace, other_fits: true },
        Case { name: "no key", senders: (0..40).map(|n| user("", n)).collect(), admitted: 1, refused_for: Shortage::Workspace, other_fits: true },
        Case { name: "many workspaces", senders: (0..40).map(|n| user(&format!("w{n}"), n)).collect(), admitted: 4, refused_for: Shortage::Total, other_fits: false },
    ];
    for case in cases {
        let mut budget = MemoryBudget::new(MAX_BYTES);
        let mut admitted = Vec::new();
        let mut refused_for = None;
        for user in case.senders.iter().cycle().take(80) {
            match budget.grow_body(user, 0, LARGEST_BODY) {
                Ok(()) => admitted.push(user.clone()),
                Err(shortage) => refused_for = Some(shortage),
            }
        }
        assert_eq!(admitted.len(), case.admitted, "{}", case.name);
        assert_eq!(refused_for, Some(case.refused_for), "{}", case.name);
        let other = user("other", 200);
        assert!(budget.grow_body(&user("w1", 1), 0, 4_000).is_ok(), "{}: small", case.name);
        budget.release_body(&user("w1", 1), 4_000);
        let fits = budget.grow_body(&other, 0, LARGEST_BODY).is_ok();
        assert_eq!(fits, case.other_fits, "{}", case.name);
        if fits {
            budget.release_body(&other, LARGEST_BODY);
        }
        admitted.iter().for_each(|user| budget.release_body(user, LARGEST_BODY));
        assert_eq!((budget.body_bytes(), budget.workspaces()), (0, 0), "{}", case.name);
    }
}

/// Guards against small bodies without any bound.
#[test]
fn small_bodies_are_bounded_in_total() {
    let mut budget = MemoryBudget::new(MAX_BYTES);
    let admitted = (0..10_000).filter(|_| budget.grow_body(&user("w1", 1), 0, 16_000).is_ok());
    assert_eq!(admitted.count(), MAX_BYTES / 2 / 16_000);
}

/// Guards against a budget so small that a legal request is never served.
#[test]
fn a_single_body_is_always_admitted() {
    let mut budget = MemoryBudget::new(2 * MIB);
    for owner in [user("w1", 1), user("", 1)] {
        assert!(budget.grow_body(&owner, 0, MIB).is_ok());
        assert!(budget.grow_body(&owner, MIB, LARGEST_BODY - MIB).is_ok());
        assert!(budget.grow_body(&owner, 0, LARGEST_BODY).is_err());
        budget.release_body(&owner, LARGEST_BODY);
        assert_eq!(budget.body_bytes(), 0);
    }
}

/// Guards against answers of slow readers that take the room of others.
#[test]
fn answers_that_are_not_read_block_their_workspace_and_the_slowest_ends() {
    let start = Instant::now();
    let later = start + Duration::from_secs(3);
    let mut budget = MemoryBudget::new(MAX_BYTES);
    let first = budget.hold_answer(start, "w1".into(), 6 * MIB);
    let second = budget.hold_answer(start, "w1".into(), 6 * MIB);
    assert_eq!(budget.admit_answer("w1"), Ok(()));
    let third = budget.hold_answer(start, "w1".into(), 6 * MIB);
    assert_eq!(budget.admit_answer("w1"), Err(Shortage::Workspace));
    assert_eq!(budget.admit_answer("w2"), Ok(()));
    let is_closed =
        |budget: &MemoryBudget, now| budget.slowest_answer(now, Shortage::Workspace, "w1");
    assert_eq!(is_closed(&budget, start + Duration::from_secs(1)), None, "callers get some time");
    // What the operating system takes at once does not count for later.
    budget.on_answer_read(start, second, 3 * MIB);
    budget.on_answer_read(later, first, 64 * 1024);
    budget.on_answer_read(later, second, 1_000);
    assert_eq!(is_closed(&budget, later), Some(third), "the one with the most left to read");
    budget.release_answer(third);
    assert_eq!(is_closed(&budget, later), Some(second));
    budget.release_answer(second);
    assert_eq!(is_closed(&budget, later), None, "the other one reads fast enough");
    for _ in 0..5 {
        budget.hold_answer(start, "w2".into(), 6 * MIB);
    }
    assert_eq!(budget.admit_answer("w3"), Err(Shortage::Total));
    assert!(budget.slowest_answer(later, Shortage::Total, "w3").is_some());
}

/// Guards against bodies that hold memory with one byte now and then.
#[test]
fn a_body_must_make_progress() {
    struct Case {
        bytes: usize,
        every: Duration,
        stalls: bool,
    }
    let millis = Duration::from_millis;
    for case in [
        Case { bytes: 1, every: millis(100), stalls: true },
        Case { bytes: 1_000, every: millis(1_000), stalls: true },
        Case { bytes: 4_096, every: millis(2_900), stalls: false },
        Case { bytes: 1_460, every: millis(900), stalls: false },
    ] {
        let start = Instant::now();
        let mut progress = BodyProgress::new(start);
        let mut stalled = false;
        for step in 1..100 {
            let now = start + case.every * step;
            stalled |= now >= progress.stalls_at();
            progress.on_data(now, case.bytes);
        }
        assert_eq!(stalled, case.stalls, "{} bytes every {:?}", case.bytes, case.every);
    }
}

/// Guards against a log line for each refusal.
#[test]
fn events_are_reported_once_a_minute() {
    let start = Instant::now();
    let mut log = PressureLog::default();
    let reports = (0..600).filter_map(|second| {
        log.on_event(start + Duration::from_secs(second), PressureEvent::BodyRefused)
    });
    let reports: Vec<PressureCounts> = reports.collect();
    assert_eq!(reports.len(), 10);
    assert_eq!((reports[0].bodies_refused, reports[1].bodies_refused), (1, 60));
    assert_eq!(log.total().bodies_refused, 600);
}
