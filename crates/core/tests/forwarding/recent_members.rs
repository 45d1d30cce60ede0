//! Which daemons count for shared limits.

use cassiagw_core::forwarding::RecentMembers;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    /// Times at which the daemon does not see its own key, in milliseconds.
    unseen_ms: std::ops::Range<u64>,
    /// First time at which a member that left at 0 ms no longer counts.
    forgotten_ms: u64,
}

/// Guards against a daemon that takes itself for the only one when the store has lost all members.
#[test]
fn former_members_count_on_while_the_own_key_is_not_seen() {
    let cases = [
        Case { name: "seen", unseen_ms: 0..0, forgotten_ms: 10_000 },
        Case { name: "unseen for a while", unseen_ms: 0..25_000, forgotten_ms: 34_900 },
        Case { name: "unseen later", unseen_ms: 9_000..12_000, forgotten_ms: 21_900 },
        Case { name: "unseen too late", unseen_ms: 15_000..20_000, forgotten_ms: 10_000 },
    ];
    for Case { name, unseen_ms, forgotten_ms } in cases {
        let start = Instant::now();
        let mut members = RecentMembers::default();
        members.insert("edge-1".into());
        members.remove(start, &"edge-1".into());
        let forgotten = (0..60_000).step_by(100).find(|at| {
            let now = start + Duration::from_millis(*at);
            if unseen_ms.contains(at) {
                members.hold(now);
            }
            members.expire(now);
            members.is_empty()
        });
        assert_eq!(forgotten, Some(forgotten_ms), "{name}");
    }
}
