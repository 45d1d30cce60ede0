//! Content of a cache store that daemons learn from each other.

use cassiagw_core::forwarding::{
    CacheStore, CacheStoreIndex, StoreContent, StoreEvent, StoreUpdate, StoredPart,
};
use proptest::prelude::*;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

const SCOPE: &str = "m/1/";
const STORE: &str = "cache";

fn part(number: u8) -> StoredPart {
    StoredPart { scope: SCOPE.to_owned(), part: format!("p{number}"), tokens: 100 }
}

fn index(now: Instant, seed: u64) -> CacheStoreIndex {
    let address = ([127, 0, 0, 1], 1).into();
    let store =
        CacheStore { name: STORE.into(), address, zone: "z0".into(), capacity_tokens: 1_000_000 };
    let mut index = CacheStoreIndex::default().with_seed(seed);
    index.set_stores(now, &[store]);
    index
}

/// Parts that an index may fetch.
fn known(index: &CacheStoreIndex, now: Instant) -> BTreeSet<u8> {
    (0..16).filter(|number| index.zones(now, SCOPE, &part(*number).part).count() > 0).collect()
}

/// Lets one daemon ask another for the content of the store.
fn pull(from: &CacheStoreIndex, to: &mut CacheStoreIndex, now: Instant) -> Option<usize> {
    let wanted = to.relay_cursors(&[STORE.into()]);
    let relayed = from.relay(now, &wanted).pop()?;
    let changes = relayed.changes.len();
    to.on_relayed(now, now, relayed);
    Some(changes)
}

/// Change in a simulated store.
#[derive(Clone, Debug)]
enum Step {
    Add(u8),
    Remove(u8),
    /// An event that never reaches the follower, until it reads the content again.
    AddUnseen(u8),
    Reload,
    Restart,
    /// The daemon asks another source, which itself learned the content from the first.
    ThroughThird,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..16_u8).prop_map(Step::Add),
        2 => (0..16_u8).prop_map(Step::Remove),
        1 => (0..16_u8).prop_map(Step::AddUnseen),
        1 => Just(Step::Reload),
        1 => Just(Step::Restart),
        1 => Just(Step::ThroughThird),
    ]
}

proptest! {
    #[test]
    fn relayed_content_equals_that_of_the_follower(
        steps in prop::collection::vec((step(), any::<bool>()), 1..60),
    ) {
        let now = Instant::now();
        let (mut follower, mut third, mut reader) = (index(now, 1), index(now, 2), index(now, 3));
        let mut held = BTreeSet::new();
        let (mut boot, mut last) = (1, 0);
        let content = |held: &BTreeSet<u8>, boot, last| StoreContent {
            boot,
            last,
            parts: held.iter().copied().map(part).collect(),
        };
        follower.on_content(now, STORE, content(&held, boot, last));
        for (step, is_pulled) in steps {
            match step {
                Step::Add(number) | Step::Remove(number) => {
                    let is_added = matches!(step, Step::Add(_));
                    if is_added { held.insert(number) } else { held.remove(&number) };
                    last += 1;
                    let event = StoreEvent { number: last, is_added, part: part(number) };
                    let update =
                        StoreUpdate { boot, last, events: vec![event], ..StoreUpdate::default() };
                    follower.on_update(now, STORE, update);
                }
                Step::AddUnseen(number) => {
                    held.insert(number);
                    last += 1;
                }
                Step::Reload => follower.on_content(now, STORE, content(&held, boot, last)),
                Step::Restart => {
                    held.clear();
                    (boot, last) = (boot + 1, 0);
                    follower.on_unreachable(STORE);
                    prop_assert_eq!(pull(&follower, &mut reader, now), None);
                    follower.on_content(now, STORE, content(&held, boot, last));
                }
                Step::ThroughThird => {
                    pull(&follower, &mut third, now);
                    pull(&third, &mut reader, now);
                    prop_assert_eq!(known(&reader, now), known(&follower, now));
                }
            }
            if is_pulled {
                pull(&follower, &mut reader, now);
                prop_assert_eq!(known(&reader, now), known(&follower, now));
            }
        }
        pull(&follower, &mut reader, now);
        prop_assert_eq!(known(&reader, now), known(&follower, now));
    }
}

#[test]
fn only_changes_are_relayed_and_their_age_counts() {
    let now = Instant::now();
    let (mut follower, mut reader) = (index(now, 1), index(now, 2));
    let parts = (0..10).map(part).collect();
    follower.on_content(now, STORE, StoreContent { boot: 1, last: 0, parts });
    assert_eq!(pull(&follower, &mut reader, now), Some(10));
    let event = StoreEvent { number: 1, is_added: true, part: part(12) };
    let update = StoreUpdate {
        boot: 1,
        last: 1,
        events: vec![event],
        clock_ms: Some(5_000.0),
        ..StoreUpdate::default()
    };
    follower.on_update(now, STORE, update);
    let asked = now + Duration::from_millis(1_000);
    assert_eq!(pull(&follower, &mut reader, asked), Some(1));
    assert_eq!(reader.clock_ms(asked), Some(6_000));
    assert_eq!(known(&reader, asked).len(), 11);
    let old = now + Duration::from_millis(1_700);
    assert_eq!(known(&reader, old).len(), 0, "as old as at the follower");
    assert_eq!(pull(&follower, &mut reader, old), None, "no longer trusted there");
}
