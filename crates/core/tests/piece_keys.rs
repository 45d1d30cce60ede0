//! Piece keys: equal prefixes in the same scope share keys, anything else must not.

use cassiagw_core::cache::{CacheScope, next_word, piece_keys, prompt_root};
use proptest::prelude::*;

fn scope() -> CacheScope {
    CacheScope::new("chiclayo".into(), "order-text".into(), "v1".into())
}

#[test]
fn scopes_and_texts_share_only_equal_prefixes() {
    struct Case {
        name: &'static str,
        scope: CacheScope,
        prompt: &'static str,
        keys: usize,
        shared: usize,
    }
    let base = piece_keys(&scope(), "a b c d e f", 2);
    let other = |f: fn(&mut CacheScope)| {
        let mut scope = scope();
        f(&mut scope);
        scope
    };
    let shifted = CacheScope::new("chiclayoorder".into(), "-text".into(), "v1".into());
    let cases = [
        Case { name: "same", scope: scope(), prompt: "a b c d e f", keys: 3, shared: 3 },
        Case {
            name: "other whitespace",
            scope: scope(),
            prompt: "\n a\tb  c d\u{2003}e f ",
            keys: 3,
            shared: 3,
        },
        Case { name: "longer", scope: scope(), prompt: "a b c d e f g", keys: 3, shared: 3 },
        Case { name: "shorter", scope: scope(), prompt: "a b c d e", keys: 2, shared: 2 },
        Case { name: "other middle", scope: scope(), prompt: "a b x d e f", keys: 3, shared: 1 },
        Case { name: "other start", scope: scope(), prompt: "x b c d e f", keys: 3, shared: 0 },
        Case {
            name: "moved token boundary",
            scope: scope(),
            prompt: "ab c d e f g",
            keys: 3,
            shared: 0,
        },
        Case { name: "short", scope: scope(), prompt: "a", keys: 0, shared: 0 },
        Case { name: "empty", scope: scope(), prompt: " \n", keys: 0, shared: 0 },
        Case {
            name: "workspace",
            scope: other(|s| s.workspace = "hangang".into()),
            prompt: "a b c d e f",
            keys: 3,
            shared: 0,
        },
        Case {
            name: "model",
            scope: other(|s| s.model = "advice".into()),
            prompt: "a b c d e f",
            keys: 3,
            shared: 0,
        },
        Case {
            name: "version",
            scope: other(|s| s.version = "v2".into()),
            prompt: "a b c d e f",
            keys: 3,
            shared: 0,
        },
        Case {
            name: "adapter",
            scope: other(|s| s.adapter = Some("carts".into())),
            prompt: "a b c d e f",
            keys: 3,
            shared: 0,
        },
        Case { name: "shifted fields", scope: shifted, prompt: "a b c d e f", keys: 3, shared: 0 },
    ];
    for case in cases {
        let keys = piece_keys(&case.scope, case.prompt, 2);
        let shared = keys.iter().zip(&base).filter(|(a, b)| a == b).count();
        assert_eq!((keys.len(), shared), (case.keys, case.shared), "{}", case.name);
        let root = prompt_root(&case.scope, case.prompt, &keys);
        assert_eq!(root == base[0], case.shared > 0, "{}", case.name);
    }
}

#[test]
fn zero_piece_tokens_yield_no_keys() {
    assert!(piece_keys(&scope(), "a b c", 0).is_empty());
}

proptest! {
    #[test]
    fn next_word_agrees_with_split_whitespace(text in "[a-c \\t\\n\u{a0}\u{2003}é\u{1f}\u{7f}]{0,40}") {
        let mut rest = text.as_str();
        let words: Vec<&str> = std::iter::from_fn(|| {
            let (word, remainder) = next_word(rest)?;
            rest = remainder;
            Some(word)
        })
        .collect();
        prop_assert_eq!(words, text.split_whitespace().collect::<Vec<_>>());
    }

    #[test]
    fn keys_of_a_prefix_are_a_prefix_of_keys(words in prop::collection::vec("[a-z]{1,3}", 0..40), cut in 0usize..40, size in 1u32..6) {
        let cut = cut.min(words.len());
        let whole = piece_keys(&scope(), &words.join(" "), size);
        let prefix = piece_keys(&scope(), &words[..cut].join(" "), size);
        prop_assert_eq!(prefix.len(), cut / size as usize);
        prop_assert_eq!(&whole[..prefix.len()], &prefix[..]);
    }
}
