use super::support::prompt;
use cassiagw_core::forwarding::{
    CacheSharing, CacheStore, CacheStoreIndex, MovePlan, PartMoves, StoreContent, StoreEvent,
    StoreUpdate, StoredPart, scope_weights,
};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_millis(500);

fn store(name: &str, zone: &str, port: u16, capacity_tokens: u64) -> CacheStore {
    let address = ([127, 0, 0, 1], port).into();
    CacheStore { name: name.into(), address, zone: zone.into(), capacity_tokens }
}

fn stored(scope: &str, part: &str, tokens: u64) -> StoredPart {
    StoredPart { scope: scope.to_owned(), part: part.to_owned(), tokens }
}

fn added(number: u64, part: StoredPart) -> StoreEvent {
    StoreEvent { number, is_added: true, part }
}

/// Index of two empty stores in two zones whose content has been read.
fn index(now: Instant) -> CacheStoreIndex {
    let mut index = CacheStoreIndex::default();
    index.set_stores(now, &[store("a", "z0", 1, 100_000), store("b", "z1", 2, 100_000)]);
    for name in ["a", "b"] {
        assert_eq!(index.last_event(now, name), None, "the content is read first");
        index.on_content(now, name, StoreContent { boot: 1, last: 0, parts: Vec::new() });
        index.on_update(now, name, StoreUpdate { clock_ms: Some(0.0), ..update(1, 0, Vec::new()) });
    }
    index
}

fn moves(
    index: &mut CacheStoreIndex,
    now: Instant,
    scope: &str,
    part: &str,
    zone: &str,
) -> PartMoves {
    let plan = MovePlan { scope, prompt: &prompt(part), zone: &zone.into(), fetch_limit: LIMIT };
    index.moves(now, &plan)
}

fn update(boot: u64, last: u64, events: Vec<StoreEvent>) -> StoreUpdate {
    StoreUpdate { boot, last, events, ..StoreUpdate::default() }
}

#[test]
fn shared_parts_are_saved_in_the_same_zone_then_fetched() {
    let now = Instant::now();
    let scope = CacheSharing::default().shared_scope("m", 1);
    let mut index = index(now);
    let first = moves(&mut index, now, &scope, "s", "z1");
    assert_eq!(first.sources, [None, None, None]);
    let near = Some(([127, 0, 0, 1], 2).into());
    assert_eq!(first.targets, [near, near, None], "the last part is the request's own");
    let again = moves(&mut index, now, &scope, "s", "z1");
    assert_eq!(again.targets, [None, None, None], "it is being saved");
    index.on_update(now, "b", update(1, 1, vec![added(1, stored(&scope, "s", 7_500))]));
    let then = moves(&mut index, now, &scope, "s", "z0");
    assert_eq!(then.sources, [None, near, None]);
    let zones: Vec<String> = index.zones(now, &scope, "s").map(|zone| zone.to_string()).collect();
    assert_eq!(zones, ["z1"]);
}

#[test]
fn parts_that_may_be_missing_are_not_fetched() {
    struct Case {
        name: &'static str,
        change: fn(&mut CacheStoreIndex, Instant) -> Instant,
    }
    let cases = [
        Case {
            name: "other weights",
            change: |index, now| {
                index.on_update(now, "a", update(1, 2, vec![added(2, stored("m/2/", "s", 1))]));
                let removed =
                    StoreEvent { number: 3, is_added: false, part: stored("m/1/", "s", 0) };
                index.on_update(now, "a", update(1, 3, vec![removed]));
                now
            },
        },
        Case {
            name: "store restarted",
            change: |index, now| {
                index.on_update(now, "a", update(2, 0, Vec::new()));
                now
            },
        },
        Case {
            name: "store unreachable",
            change: |index, now| {
                index.on_unreachable("a");
                now
            },
        },
        Case { name: "no answer for a while", change: |_, now| now + Duration::from_secs(2) },
        Case {
            name: "store removed from the settings",
            change: |index, now| {
                index.set_stores(now, &[store("b", "z1", 2, 100_000)]);
                now
            },
        },
        Case {
            name: "store at another address",
            change: |index, now| {
                index.set_stores(now, &[store("a", "z0", 3, 100_000)]);
                now
            },
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut index = index(now);
        index.on_update(now, "a", update(1, 1, vec![added(1, stored("m/1/", "s", 7_500))]));
        assert_eq!(index.zones(now, "m/1/", "s").count(), 1, "{}", case.name);
        let now = (case.change)(&mut index, now);
        let moves = moves(&mut index, now, "m/1/", "s", "z0");
        assert_eq!(moves.sources, [None, None, None], "{}", case.name);
    }
}

#[test]
fn a_missed_change_triggers_a_delayed_reload() {
    let now = Instant::now();
    let mut index = index(now);
    index.on_update(now, "a", update(1, 2, vec![added(2, stored("m/1/", "s", 7_500))]));
    assert_eq!(index.last_event(now, "a"), Some(2), "not at once");
    assert_eq!(index.zones(now, "m/1/", "s").count(), 1);
    assert_eq!(index.last_event(now + Duration::from_secs(10), "a"), None);
}

#[test]
fn a_full_store_takes_nothing_more() {
    let now = Instant::now();
    let mut index = CacheStoreIndex::default();
    index.set_stores(now, &[store("a", "z0", 1, 10_000)]);
    index.on_content(now, "a", StoreContent { boot: 1, last: 0, parts: Vec::new() });
    let first = moves(&mut index, now, "m/1/", "s", "z0");
    assert_eq!(first.targets.iter().flatten().count(), 2);
    let second = moves(&mut index, now, "m/1/", "t", "z0");
    assert_eq!(second.targets.iter().flatten().count(), 0);
}

#[test]
fn only_parts_of_unused_scopes_are_deleted() {
    let now = Instant::now();
    let mut index = index(now);
    let parts = vec![stored("m/1/", "s", 10), stored("m/2/", "s", 10), stored("other", "x", 10)];
    index.on_content(now, "a", StoreContent { boot: 9, last: 4, parts });
    let is_used = |scope: &str| scope_weights(scope) == Some(("m", 2));
    let (boot, mut unused) = index.unused_parts("a", is_used).expect("some parts are not used");
    unused.sort_by(|a, b| a.scope.cmp(&b.scope));
    assert_eq!(boot, 9);
    assert_eq!(unused, [stored("m/1/", "s", 10), stored("other", "x", 10)]);
    assert_eq!(index.unused_parts("b", is_used), None);
}

#[test]
fn the_time_limit_of_a_fetch_is_on_the_endpoints_clock() {
    let now = Instant::now();
    let mut index = CacheStoreIndex::default();
    index.set_stores(now, &[store("a", "z0", 1, 100_000)]);
    let parts = vec![stored("m/1/", "s", 7_500)];
    index.on_content(now, "a", StoreContent { boot: 1, last: 0, parts });
    let unknown = moves(&mut index, now, "m/1/", "s", "z0");
    assert_eq!(unknown.sources, [None, None, None], "the clock is not known yet");
    let update = StoreUpdate { clock_ms: Some(1_000.0), ..update(1, 0, Vec::new()) };
    index.on_update(now, "a", update);
    let later = now + Duration::from_millis(250);
    let moves = moves(&mut index, later, "m/1/", "s", "z0");
    assert_eq!(moves.discard_at_ms, Some(1_750));
}
