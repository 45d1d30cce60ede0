//! Tests of paths, types, references and access rights of the settings.

use cassiagw_core::{
    ids::OrderedMap,
    settings::{
        Change, CheckError, Edit, Path, Principal, Subtree, TokenHash, Tree, check,
        decode_snapshot, encode_snapshot,
    },
};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;

fn token(name: &str) -> Value {
    serde_json::to_value(TokenHash::of(name)).expect("hash serializes")
}

fn base() -> Vec<Change> {
    vec![
        Change::new("zones/z1", json!({"region": "r1", "state": "in"})),
        Change::new(
            "models/text",
            json!({"kind": "engine", "versions": ["v1", "v2"], "adapters": ["a1"],
                   "default_version": "v1"}),
        ),
        Change::new("models/desk", json!({"kind": "service"})),
        Change::new(
            "endpoints/e1",
            json!({"host": "h1", "zone": "z1", "model": "text", "rpc": "10.0.0.1:1"}),
        ),
        Change::new("stores/s1", json!({"zone": "z1", "address": "10.0.0.2:1"})),
        Change::new("workspaces/w", json!({"weight": 1})),
        Change::new(
            "access/a",
            json!({"workspace": "w", "token": token("a"), "models": ["text"],
                   "versions": ["v1"]}),
        ),
        Change::new("access/ab", json!({"workspace": "w", "token": token("ab"), "models": []})),
        Change::new("teams/a/callers/c1", json!({"token": token("c1")})),
        Change::new("teams/a/serving/text", json!({"version": "v1"})),
    ]
}

fn tree() -> Tree {
    check(&Tree::default(), &Principal::Operator, &base()).expect("valid settings")
}

#[test]
fn every_error_is_reported_with_what_is_allowed() {
    struct Case {
        changes: Vec<Change>,
        errors: &'static [(&'static str, &'static str)],
    }
    let set = |path: &str, value: Value| vec![Change::new(path, value)];
    let cases = [
        Case { changes: vec![], errors: &[("", "no change")] },
        Case {
            changes: [
                set("zones/z2", json!({"region": "R", "state": "in"})),
                set("Zones/z2", json!({})),
                set("stores/s2", json!({"zone": "z9", "address": "10.0.0.1:0"})),
                set("workspaces/w", json!({"weight": 0})),
            ]
            .concat(),
            errors: &[
                ("zones/z2", "lowercase"),
                ("Zones/z2", "lowercase"),
                ("stores/s2", "port"),
                ("workspaces/w", "1 to 1000"),
            ],
        },
        Case {
            changes: vec![Change::removal("zones/z1")],
            errors: &[("endpoints/e1", "zones/z1"), ("stores/s1", "zones/z1")],
        },
        Case {
            changes: vec![Change::removal("models/text")],
            errors: &[
                ("endpoints/e1", "models/text"),
                ("access/a", "models/text"),
                ("access/a", "has version v1"),
                ("teams/a/serving/text", "does not allow"),
            ],
        },
        Case {
            changes: vec![Change::removal("access/a")],
            errors: &[("teams/a/callers/c1", "access/a"), ("teams/a/serving/text", "access/a")],
        },
        Case {
            changes: set("teams/a/serving/text", json!({"version": "v2", "adapter": "a1"})),
            errors: &[("teams/a/serving/text", "v2"), ("teams/a/serving/text", "a1")],
        },
        Case {
            changes: set("teams/a/serving/desk", json!({})),
            errors: &[("teams/a/serving/desk", "does not allow model desk")],
        },
        Case {
            changes: set("teams/a/callers/c2", json!({"token": token("c1")})),
            errors: &[("teams/a/callers/c2", "in use")],
        },
        Case {
            changes: set("teams/ab/callers/c2", json!({"token": token("a")})),
            errors: &[("teams/ab/callers/c2", "in use")],
        },
        Case { changes: vec![Change::removal("zones/z7")], errors: &[("zones/z7", "not exist")] },
        Case {
            changes: set("models/m", json!({"kind": "engine", "versions": ["v1"], "x": 1})),
            errors: &[("models/m", "unknown field")],
        },
        Case {
            changes: [set("zones/z1", json!(1)), set("zones/z1", json!(2))].concat(),
            errors: &[("zones/z1", "invalid type"), ("zones/z1", "given twice")],
        },
    ];
    let tree = tree();
    for case in cases {
        let outcome = check(&tree, &Principal::Operator, &case.changes);
        let Err(CheckError::Invalid(errors)) = outcome else { panic!("{:?}", case.changes) };
        assert_eq!(errors.len(), case.errors.len(), "{errors:?}");
        for (path, text) in case.errors {
            let is_reported =
                |f: &&cassiagw_core::settings::Fault| f.path == *path && f.message.contains(text);
            assert!(errors.iter().any(|error| is_reported(&error)), "{path} {text}: {errors:?}");
        }
    }
}

#[test]
fn a_snapshot_and_the_pages_hold_the_full_tree() {
    let tree = tree();
    let read = decode_snapshot(7, &encode_snapshot(&tree)).expect("valid snapshot");
    assert_eq!((read.revision, read.entries().collect::<Vec<_>>()), (7, entries(&tree)));
    let mut last = None;
    let mut paged = Vec::new();
    loop {
        let page = tree.page_after(last.as_ref(), 100);
        let Some((path, _)) = page.last() else { break };
        last = Some(path.clone());
        paged.extend(page);
    }
    assert_eq!(paged, entries(&tree));
}

fn entries(tree: &Tree) -> Vec<(Path, cassiagw_core::settings::Entry)> {
    tree.entries().collect()
}

/// Paths near the boundary between the subtrees of teams `a` and `ab`.
fn path_text() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        Just("teams"),
        Just("Teams"),
        Just("a"),
        Just("ab"),
        Just("A"),
        Just("a."),
        Just("."),
        Just(".."),
        Just(""),
        Just("%61"),
        Just("a%2f"),
        Just("access"),
        Just("callers"),
        Just("serving"),
        Just("c1"),
        Just("text"),
        Just("\u{430}"),
        Just("a b"),
        Just("a\\"),
        Just("zones"),
        Just("z1"),
        Just("\u{0}"),
    ];
    let shaped = proptest::collection::vec(part, 0..6).prop_map(|parts| parts.join("/"));
    prop_oneof![4 => shaped, 1 => any::<String>()]
}

proptest! {
    #[test]
    fn a_team_reads_and_writes_its_own_subtree_and_nothing_else(
        path in path_text(),
        removes in any::<bool>(),
    ) {
        let tree = tree();
        let team = Principal::Team("a".into());
        let is_own = path.starts_with("teams/a/");
        let value = json!({"token": token("new")});
        let change = match removes {
            true => Change::removal(&path),
            false => Change::new(&path, value),
        };
        if let Ok(after) = check(&tree, &team, std::slice::from_ref(&change)) {
            prop_assert!(is_own, "wrote {path:?}");
            let foreign = |tree: &Tree| {
                let all = entries(tree).into_iter();
                all.filter(|(path, _)| !path.to_string().starts_with("teams/a/")).collect::<Vec<_>>()
            };
            prop_assert_eq!(foreign(&tree), foreign(&after));
        }
        if let Ok(subtree) = Subtree::parse(&path)
            && team.may_read(&subtree)
        {
            let read = tree.entries_in(&subtree).map(|(path, _)| path.to_string());
            prop_assert!(read.into_iter().all(|path| path.starts_with("teams/a/")));
            prop_assert!(is_own || path == "teams/a", "read {path:?}");
        }
        if let Ok(parsed) = Path::parse(&path) {
            prop_assert_eq!(parsed.to_string(), path, "one spelling each");
        }
    }

    #[test]
    fn the_token_indexes_follow_every_accepted_edit(
        edits in proptest::collection::vec((0..3u8, 0..3u8, 0..4u8), 1..40),
    ) {
        let mut tree = tree();
        for (n, (team, name, value)) in edits.into_iter().enumerate() {
            let team = ["a", "ab", "abc"][team as usize];
            let path = format!("teams/{team}/callers/n{name}");
            let change = match value {
                0 => Change::removal(path),
                _ => Change::new(path, json!({"token": token(&format!("t{value}"))})),
            };
            if check(&tree, &Principal::Operator, std::slice::from_ref(&change)).is_ok() {
                let edit = Edit { by: "operator".into(), at: 0, changes: vec![change] };
                tree.apply(n as u64 + 1, &edit);
            }
            let index = tree.callers_by_token.iter().map(|(token, (team, _))| (*token, team.clone()));
            let callers = tree.callers.iter().map(|((team, _), c)| (c.token, team.clone()));
            prop_assert_eq!(index.collect::<BTreeMap<_, _>>(), callers.collect());
        }
    }

    #[test]
    fn an_ordered_map_behaves_like_a_btree_map(
        steps in proptest::collection::vec((any::<bool>(), 0..300u16), 0..600),
    ) {
        let (mut map, mut plain) = (OrderedMap::new(), BTreeMap::new());
        let mut earlier = (map.clone(), plain.clone());
        for (n, (is_insert, key)) in steps.into_iter().enumerate() {
            match is_insert {
                true => prop_assert_eq!(map.insert(key, n), plain.insert(key, n)),
                false => prop_assert_eq!(map.remove(&key), plain.remove(&key)),
            }
            prop_assert_eq!(map.get(&key), plain.get(&key));
            prop_assert_eq!(map.iter_from(&key).next(), plain.range(key..).next());
            if n % 50 == 0 {
                earlier = (map.clone(), plain.clone());
            }
        }
        prop_assert!(map.iter().eq(plain.iter()) && map.len() == plain.len());
        prop_assert!(earlier.0.iter().eq(earlier.1.iter()), "a clone does not change");
    }
}
