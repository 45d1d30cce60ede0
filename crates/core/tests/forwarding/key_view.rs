use bytes::Bytes;
use cassiagw_core::forwarding::{ChangedKeys, KeyView, StorePosition, ViewItem};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn at(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

fn item(revision: u64) -> ViewItem {
    item_of(0, revision)
}

fn item_of(era: u64, revision: u64) -> ViewItem {
    let value = Bytes::from(revision.to_string());
    ViewItem { value, written_at: StorePosition::new(era, revision) }
}

fn content(view: &KeyView) -> BTreeMap<String, u64> {
    view.with_prefix("").map(|(key, item)| (key.to_owned(), item.written_at.revision)).collect()
}

#[test]
fn a_snapshot_removes_unlisted_keys() {
    let mut view = KeyView::default();
    let items = vec![("a".to_owned(), item(1)), ("b".to_owned(), item(2))];
    view.apply(ChangedKeys { as_of: at(2), items, ..ChangedKeys::default() });
    let items = vec![("a".to_owned(), item(1)), ("c".to_owned(), item(5))];
    let mut changed =
        view.apply(ChangedKeys { as_of: at(5), is_whole: true, items, ..ChangedKeys::default() });
    changed.keys.sort();
    assert_eq!(changed.keys, ["b", "c"]);
    assert_eq!(view.as_of(), at(5));
}

#[test]
fn an_older_snapshot_changes_nothing() {
    let mut view = KeyView::default();
    let items = vec![("a".to_owned(), item(7))];
    let removed = vec![("b".to_owned(), at(8))];
    view.apply(ChangedKeys {
        as_of: at(1),
        items: vec![("b".to_owned(), item(1))],
        ..ChangedKeys::default()
    });
    view.apply(ChangedKeys { as_of: at(8), items, removed, ..ChangedKeys::default() });
    let old = vec![("a".to_owned(), item(3)), ("b".to_owned(), item(1))];
    let changed = view.apply(ChangedKeys {
        as_of: at(4),
        is_whole: true,
        items: old,
        ..ChangedKeys::default()
    });
    assert!(changed.keys.is_empty(), "{changed:?}");
    assert_eq!(view.as_of(), at(8));
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
    let end = |share: u8| log.len() as u64 * u64::from(share) / 100;
    let changes = match *source {
        Source::Peer => other.changes_after(view.as_of()),
        Source::ReadAll(share) => ChangedKeys {
            as_of: at(end(share)),
            is_whole: true,
            after: StorePosition::default(),
            items: as_of(log, end(share)).into_iter().map(|(key, at)| (key, item(at))).collect(),
            removed: Vec::new(),
        },
        Source::Watch(share) => {
            let after = view.as_of();
            let as_of = at(end(share)).max(after);
            let mut changes = ChangedKeys { after, as_of, ..ChangedKeys::default() };
            for revision in view.as_of().revision + 1..=changes.as_of.revision {
                let write = &log[revision as usize - 1];
                match write.is_removal {
                    true => changes.removed.push((write.key.to_string(), at(revision))),
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
            prop_assert_eq!(content(view), as_of(&log, view.as_of().revision));
        }
    }
}

/// Something that happens to a store that may come back from a copy, and to the views fed by it.
#[derive(Clone, Debug)]
enum Step {
    /// A key is written or removed.
    Write(Write),
    /// The store comes back from a copy at a percentage of its log.
    Restore(u8),
    /// A view asks for all keys; the answer is on its way.
    Read(usize),
    /// A view asks for the changes since its position; the answer is on its way.
    Watch(usize),
    /// One of the answers on their way arrives.
    Arrive(u8),
    /// A view pulls from the other one.
    Pull(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => write().prop_map(Step::Write),
        1 => (0..=100_u8).prop_map(Step::Restore),
        2 => (0..2_usize).prop_map(Step::Read),
        3 => (0..2_usize).prop_map(Step::Watch),
        6 => any::<u8>().prop_map(Step::Arrive),
        2 => (0..2_usize).prop_map(Step::Pull),
    ]
}

/// A store with the log of each era; each begins with a part of the one before.
struct Store {
    eras: Vec<Vec<Write>>,
}

impl Store {
    fn position(&self) -> StorePosition {
        let log = self.eras.last().expect("an era");
        StorePosition::new(self.eras.len() as u64, log.len() as u64)
    }

    fn content(&self, position: StorePosition) -> BTreeMap<String, u64> {
        let Some(before) = position.era.checked_sub(1) else { return BTreeMap::new() };
        as_of(&self.eras[before as usize], position.revision)
    }

    fn read_all(&self) -> ChangedKeys {
        let position = self.position();
        let items = self.content(position).into_iter();
        let items = items.map(|(key, at)| (key, item_of(position.era, at)));
        ChangedKeys {
            as_of: position,
            is_whole: true,
            items: items.collect(),
            ..ChangedKeys::default()
        }
    }

    /// Changes after a position, of which the store sees the revision only; `None` if the era does
    /// not have it.
    fn watch(&self, after: StorePosition) -> Option<ChangedKeys> {
        let position = self.position();
        let asked = after.revision;
        let log = self.eras.last()?;
        let mut changes = ChangedKeys { after, as_of: position, ..ChangedKeys::default() };
        for (index, write) in log.iter().enumerate().skip(usize::try_from(asked).ok()?) {
            let revision = index as u64 + 1;
            let key = write.key.to_string();
            match write.is_removal {
                true => changes.removed.push((key, StorePosition::new(position.era, revision))),
                false => changes.items.push((key, item_of(position.era, revision))),
            }
        }
        (asked <= position.revision).then_some(changes)
    }
}

proptest! {
    /// Views of a store that comes back older at any time never go back, are never a mixture of two
    /// eras, and in the end equal the store.
    #[test]
    fn views_follow_a_store_that_comes_back_older(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut store = Store { eras: vec![Vec::new()] };
        let mut views = [KeyView::default(), KeyView::default()];
        let mut arriving: Vec<(usize, ChangedKeys)> = Vec::new();
        for step in steps {
            let before = [views[0].as_of(), views[1].as_of()];
            match step {
                Step::Write(write) => store.eras.last_mut().expect("an era").push(write),
                Step::Restore(share) => {
                    let mut copy = store.eras.last().expect("an era").clone();
                    copy.truncate(copy.len() * usize::from(share) / 100);
                    store.eras.push(copy);
                }
                Step::Read(view) => arriving.push((view, store.read_all())),
                Step::Watch(view) if before[view] != StorePosition::default() => {
                    let changes = store.watch(before[view]);
                    arriving.extend(changes.map(|changes| (view, changes)));
                }
                Step::Watch(_) => {}
                Step::Arrive(_) if arriving.is_empty() => {}
                Step::Arrive(at) => {
                    let (view, changes) = arriving.remove(usize::from(at) % arriving.len());
                    views[view].apply(changes);
                }
                Step::Pull(view) => {
                    let changes = views[1 - view].changes_after(before[view]);
                    views[view].apply(changes);
                }
            }
            for (view, before) in views.iter().zip(before) {
                prop_assert!(view.as_of() >= before);
                prop_assert_eq!(content(view), store.content(view.as_of()));
                let eras = view.with_prefix("").map(|(_, item)| item.written_at.era);
                let eras: Vec<u64> = eras.collect();
                prop_assert!(eras.iter().all(|era| *era == view.as_of().era), "{:?}", eras);
            }
        }
        for view in &mut views {
            view.apply(store.read_all());
            prop_assert_eq!(content(view), store.content(store.position()));
        }
    }

    #[test]
    fn fences_rise_with_the_position(
        first in (1..1_000_u64, 1..u64::from(u32::MAX)),
        second in (1..1_000_u64, 1..u64::from(u32::MAX)),
    ) {
        let [first, second] = [first, second].map(|(era, revision)| StorePosition::new(era, revision));
        prop_assert_eq!(first.fence().cmp(&second.fence()), first.cmp(&second));
    }
}
