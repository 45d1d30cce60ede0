//! Object formats of the cache stores: decoders, and the read path on corrupted stores, compared
//! with a plain map as the model.

use cassiagw_core::{
    cache::{
        BlockVerifyError, CacheScope, Manifest, ManifestError, block_name, decode_header,
        encode_block, manifest_name, parse_block_name, piece_keys, verify_block,
    },
    ids::PieceKey,
};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

type Objects = BTreeMap<String, Vec<u8>>;

fn manifest(key: PieceKey, block: u128, object: &[u8]) -> Manifest {
    Manifest {
        key,
        parent: None,
        position: 0,
        block,
        bytes: object.len() as u64,
        blake3: *blake3::hash(object).as_bytes(),
        version: "v1".into(),
        tokens: 4,
        recompute: Duration::from_millis(3),
        expected_gap: Duration::from_secs(60),
        written_unix_s: 1,
        last_use_unix_s: 1,
    }
}

fn publish(objects: &mut Objects, key: PieceKey, block: u128, payload: &[u8]) {
    let object = encode_block(key, payload);
    objects.insert(manifest_name(key), manifest(key, block, &object).encode());
    objects.insert(block_name(key, block), object);
}

/// Read path without I/O: decodes the manifest, then verifies the block.
fn read(objects: &Objects, key: PieceKey) -> Option<Vec<u8>> {
    let manifest = Manifest::decode(objects.get(&manifest_name(key))?, key).ok()?;
    manifest.check_version(&"v1".into()).ok()?;
    let object = objects.get(&block_name(key, manifest.block))?;
    verify_block(&manifest, object).ok().map(|range| object[range].to_vec())
}

#[test]
fn altered_blocks_are_rejected_with_the_cause() {
    struct Case {
        name: &'static str,
        alter: fn(&mut Vec<u8>),
        error: BlockVerifyError,
    }
    let (key, other) = (PieceKey([1; 16]), PieceKey([2; 16]));
    let intact = encode_block(key, b"payload");
    let cases = [
        Case {
            name: "cut",
            alter: |object| object.truncate(38),
            error: BlockVerifyError::Length { expected: 39, got: 38 },
        },
        Case { name: "flipped", alter: |object| object[35] ^= 1, error: BlockVerifyError::Hash },
        Case { name: "header", alter: |object| object[9] ^= 1, error: BlockVerifyError::Hash },
    ];
    for case in cases {
        let mut object = intact.clone();
        (case.alter)(&mut object);
        assert_eq!(
            verify_block(&manifest(key, 7, &intact), &object),
            Err(case.error),
            "{}",
            case.name
        );
    }
    let swapped = encode_block(other, b"payload");
    let error = BlockVerifyError::KeyMismatch { got: other };
    assert_eq!(verify_block(&manifest(key, 7, &swapped), &swapped), Err(error));
    let error = ManifestError::KeyMismatch(other);
    assert_eq!(Manifest::decode(&manifest(other, 7, &swapped).encode(), key), Err(error));
    assert!(manifest(key, 7, &intact).check_version(&"v2".into()).is_err());
}

#[derive(Clone, Debug)]
enum Step {
    Write { text: u8, workspace: bool },
    Read { text: u8, workspace: bool },
    Flip { object: usize, byte: usize },
    Cut { object: usize, keep: usize },
    Swap { a: usize, b: usize },
    Delete { object: usize },
    Restore { object: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let text = (0u8..6, any::<bool>());
    prop_oneof![
        3 => text.clone().prop_map(|(text, workspace)| Step::Write { text, workspace }),
        4 => text.prop_map(|(text, workspace)| Step::Read { text, workspace }),
        1 => (any::<usize>(), any::<usize>()).prop_map(|(object, byte)| Step::Flip { object, byte }),
        1 => (any::<usize>(), any::<usize>()).prop_map(|(object, keep)| Step::Cut { object, keep }),
        1 => (any::<usize>(), any::<usize>()).prop_map(|(a, b)| Step::Swap { a, b }),
        1 => any::<usize>().prop_map(|object| Step::Delete { object }),
        1 => any::<usize>().prop_map(|object| Step::Restore { object }),
    ]
}

fn key_of(text: u8, workspace: bool) -> PieceKey {
    let workspace = if workspace { "chiclayo" } else { "hangang" };
    let scope = CacheScope::new(workspace.into(), "m".into(), "v1".into());
    piece_keys(&scope, &format!("text {text}"), 2)[0]
}

proptest! {
    /// A store that alters, swaps, loses and restores objects must never yield bytes other than
    /// those last written. The model is a map keyed by the plain text. Guards against a block of
    /// another prompt or workspace, or a damaged one, reaching an engine.
    #[test]
    fn reads_match_the_model_on_corrupted_stores(steps in prop::collection::vec(step(), 1..60)) {
        let mut objects = Objects::new();
        let mut history: Vec<(String, Vec<u8>)> = Vec::new();
        let mut model: BTreeMap<(u8, bool), Vec<u8>> = BTreeMap::new();
        for (block, step) in steps.into_iter().enumerate() {
            let names: Vec<String> = objects.keys().cloned().collect();
            let name = |index: usize| (!names.is_empty()).then(|| names[index % names.len()].clone());
            match step {
                Step::Write { text, workspace } => {
                    let payload = format!("cache of {text} in {workspace}").into_bytes();
                    publish(&mut objects, key_of(text, workspace), block as u128, &payload);
                    model.insert((text, workspace), payload);
                    history.extend(objects.clone());
                }
                Step::Read { text, workspace } => {
                    if let Some(payload) = read(&objects, key_of(text, workspace)) {
                        prop_assert_eq!(Some(&payload), model.get(&(text, workspace)));
                    }
                }
                Step::Flip { object, byte } => {
                    if let Some(object) = name(object).and_then(|name| objects.get_mut(&name)) && !object.is_empty() {
                        let index = byte % object.len();
                        object[index] ^= 1 << (byte % 8);
                    }
                }
                Step::Cut { object, keep } => {
                    if let Some(object) = name(object).and_then(|name| objects.get_mut(&name)) {
                        object.truncate(keep % (object.len() + 1));
                    }
                }
                Step::Swap { a, b } => {
                    if let (Some(a), Some(b)) = (name(a), name(b)) {
                        let (first, second) = (objects[&a].clone(), objects[&b].clone());
                        objects.insert(a, second);
                        objects.insert(b, first);
                    }
                }
                Step::Delete { object } => {
                    name(object).and_then(|name| objects.remove(&name));
                }
                Step::Restore { object } => {
                    let old = (!history.is_empty()).then(|| history[object % history.len()].clone());
                    objects.extend(old);
                }
            }
        }
    }

    #[test]
    fn unaltered_objects_are_read_back(payload in prop::collection::vec(any::<u8>(), 0..200), key in any::<[u8; 16]>(), block in any::<u128>()) {
        let mut objects = Objects::new();
        publish(&mut objects, PieceKey(key), block, &payload);
        prop_assert_eq!(read(&objects, PieceKey(key)), Some(payload));
        prop_assert_eq!(parse_block_name(&block_name(PieceKey(key), block)), Some((PieceKey(key), block)));
    }

    #[test]
    fn decoders_do_not_panic_on_arbitrary_input(bytes in prop::collection::vec(any::<u8>(), 0..5_000), name in "\\PC{0,80}") {
        let _ = Manifest::decode(&bytes, PieceKey([0; 16]));
        let _ = decode_header(&bytes);
        let _ = parse_block_name(&name);
    }
}
