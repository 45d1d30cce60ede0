use cassiagw_core::forwarding::{CacheSharing, dedicated_scope, scope_weights};
use proptest::prelude::*;

/// Scope of a workspace's requests under these settings.
fn scope(dedicated: &[&str], workspace: &str) -> String {
    let sharing = CacheSharing::new(dedicated.iter().map(|name| (*name).into()));
    match sharing.is_dedicated(workspace) {
        true => dedicated_scope("m", 1, workspace),
        false => sharing.shared_scope("m", 1),
    }
}

/// Guards against other workspaces using what a workspace left in the shared scope before it became
/// dedicated.
#[test]
fn no_scope_is_shared_by_a_workspace_that_was_or_became_dedicated() {
    struct Case {
        name: &'static str,
        /// Dedicated workspaces of the settings, in order.
        settings: &'static [&'static [&'static str]],
        /// Whether `a` and `b` may use each other's parts, made under any of the settings, under
        /// the last ones.
        may_share: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "never dedicated", settings: &[&[], &[]], may_share: true },
        Case { name: "another one becomes dedicated", settings: &[&["c"], &["c"]], may_share: true },
        Case { name: "it becomes dedicated", settings: &[&[], &["a"]], may_share: false },
        Case { name: "beside another one", settings: &[&["c"], &["a", "c"]], may_share: false },
        Case { name: "in place of another one", settings: &[&["c"], &["a"]], may_share: false },
        Case { name: "the other one does", settings: &[&[], &["b"]], may_share: false },
        Case { name: "both do", settings: &[&[], &["a", "b"]], may_share: false },
        Case { name: "they swap", settings: &[&["a"], &["b"]], may_share: false },
    ];
    for Case { name, settings, may_share } in cases {
        let (last, _) = settings.split_last().expect("settings");
        let any_met = settings.iter().any(|made| {
            scope(made, "a") == scope(last, "b") || scope(made, "b") == scope(last, "a")
        });
        assert_eq!(any_met, may_share, "{name}");
    }
}

#[test]
fn scopes_name_their_weights_and_can_be_sent() {
    let strange = ["", "a/b", "a\nb", "ü", "shared-"];
    let scopes = strange.map(|workspace| dedicated_scope("org/m", 7, workspace));
    let shared = CacheSharing::new(strange.map(Into::into)).shared_scope("org/m", 7);
    for scope in scopes.iter().chain([&shared]) {
        assert_eq!(scope_weights(scope), Some(("org/m", 7)), "{scope}");
        assert!(scope.bytes().all(|byte| byte.is_ascii_graphic()), "{scope}");
    }
    assert_eq!(scope_weights("m"), None);
    assert_eq!(scope_weights("m/x/shared-"), None);
}

#[test]
fn a_scope_is_used_as_long_as_some_request_may_have_it() {
    let sharing = CacheSharing::new(["a".into()]);
    assert!(sharing.is_used(&sharing.shared_scope("m", 1)));
    assert!(sharing.is_used(&dedicated_scope("m", 1, "a")));
    assert!(!sharing.is_used(&dedicated_scope("m", 1, "b")));
    assert!(!sharing.is_used(&CacheSharing::default().shared_scope("m", 1)));
    assert!(sharing.is_used("m/1/"), "an earlier version names it so");
}

proptest! {
    /// Guards against two settings whose dedicated workspaces differ sharing a scope, and against
    /// daemons that read the same settings building different ones.
    #[test]
    fn shared_scopes_are_equal_just_for_equal_sets(
        first in prop::collection::btree_set("[ab/-]{0,3}", 0..5),
        second in prop::collection::btree_set("[ab/-]{0,3}", 0..5),
    ) {
        let shared = |names: Vec<&String>| {
            let names = names.into_iter().map(|name| name.as_str().into());
            CacheSharing::new(names).shared_scope("m", 1)
        };
        let forward = shared(first.iter().collect());
        prop_assert_eq!(&forward, &shared(first.iter().rev().collect()));
        prop_assert_eq!(forward == shared(second.iter().collect()), first == second);
    }
}
