use bytes::Bytes;
use cassiagw_core::forwarding::{ChangedKeys, KeyView, ViewItem};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn item(revision: u64) -> ViewItem {
    ViewItem { value: Bytes::from(revision.to_string()), revision, created: revision }
}

fn content(view: &KeyView) -> BTreeMap<String, u64> {
    view.with_prefix("").map(|(key, item)| (key.to_owned(), item.revision)).collect()
}

#[test]
fn a_snapshot_removes_unlisted_keys() {
    let mut view = KeyView::default();
    let items = vec![("a".to_owned(), item(1)), ("b".to_owned(), item(2))];
    view.apply(ChangedKeys { as_of: 2, items, ..ChangedKeys::default() });
    let items = vec![("a".to_owned(), item(1)), ("c".to_owned(), item(5))];
    let mut changed =
        view.apply(ChangedKeys { as_of: 5, is_whole: true, items, removed: Vec::new() });
    changed.sort();
    assert_eq!(changed, ["b", "c"]);
    assert_eq!(view.as_of(), 5);
}

#[test]
fn an_older_snapshot_changes_nothing() {
    let mut view = KeyView::default();
    let items = vec![("a".to_owned(), item(7))];
    let removed = vec![("b".to_owned(), 8)];
    view.apply(ChangedKeys {
        as_of: 1,
        items: vec![("b".to_owned(), item(1))],
        ..ChangedKeys::default()
    });
    view.apply(ChangedKeys { as_of: 8, items, removed, ..ChangedKeys::default() });
    let old = vec![("a".to_owned(), item(3)), ("b".to_owned(), item(1))];
    let changed =
        view.apply(ChangedKeys { as_of: 4, is_whole: true, items: old, removed: Vec::new() });
    assert!(changed.is_empty(), "{changed:?}");
    assert_eq!(view.as_of(), 8);
}

/// A write or removal of one of a few keys.
#[derive(Clone, Debug)]
struct Write {
    key: u8,
    is_removal: bool,
}

fn write() -> impl Strategy<Value = Write> {
    (0..6_u8, prop::bool::weighted(0.3)).prop_map(|(key, is_removal)| Write { key, is_removal })
}

/// Source from which a view is updated.
#[derive(Clone, Debug)]
enum Source {
    /// Changes from its own revision up to a percentage of the log.
    Watch(u8),
    /// A full snapshot at a percentage of the log, which may be older than the view.
    ReadAll(u8),
    /// What the other view has beyond its own revision.
    Peer,
}

fn source() -> impl Strategy<Value = Source> {
    prop_oneof![
        (0..=100_u8).prop_map(Source::Watch),
        (0..=100_u8).prop_map(Source::ReadAll),
        Just(Source::Peer),
    ]
}

/// Content of the store at a revision, replayed from its log.
fn as_of(log: &[Write], revision: u64) -> BTreeMap<String, u64> {
    let mut content = BTreeMap::new();
    for (index, write) in log.iter().take(revision as usize).enumerate() {
        let key = write.key.to_string();
        match write.is_removal {
            true => content.remove(&key),
            false => content.insert(key, index as u64 + 1),
        };
    }
    content
}

fn update(view: &mut KeyView, other: &KeyView, log: &[Write], source: &Source) {
    let at = |share: u8| log.len() as u64 * u64::from(share) / 100;
    let changes = match *source {
        Source::Peer => other.changes_after(view.as_of()),
        Source::ReadAll(share) => ChangedKeys {
            as_of: at(share),
            is_whole: true,
            items: as_of(log, at(share)).into_iter().map(|(key, at)| (key, item(at))).collect(),
            removed: Vec::new(),
        },
        Source::Watch(share) => {
            let mut changes =
                ChangedKeys { as_of: at(share).max(view.as_of()), ..ChangedKeys::default() };
            for revision in view.as_of() + 1..=changes.as_of {
                let write = &log[revision as usize - 1];
                match write.is_removal {
                    true => changes.removed.push((write.key.to_string(), revision)),
                    false => changes.items.push((write.key.to_string(), item(revision))),
                }
            }
            changes
        }
    };
    view.apply(changes);
}

proptest! {
    /// Two views updated from any sources in any order never move backwards, and match the store at
    /// their revision.
    #[test]
    fn views_never_move_backwards(
        log in prop::collection::vec(write(), 1..40),
        sources in prop::collection::vec((any::<bool>(), source()), 1..30),
    ) {
        let mut views = [KeyView::default(), KeyView::default()];
        for (is_first, source) in &sources {
            let [first, second] = &mut views;
            let (view, other) = if *is_first { (first, second) } else { (second, first) };
            let before = view.as_of();
            update(view, other, &log, source);
            prop_assert!(view.as_of() >= before);
            prop_assert_eq!(content(view), as_of(&log, view.as_of()));
        }
    }
}
