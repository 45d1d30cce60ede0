//! Refusals of other requests on the connection of a request.

use super::support::{Cluster, FIRST_EVENT, is_complete};
use cassiagw_platform_standins::{
    Behaviour::{self, Broken, Fail, StaleRefusal as Stale},
    KINDS, Replica, StaleRefusal,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_earlier_refusal_never_proves_that_a_request_did_not_run() {
    struct Case {
        kinds: &'static [&'static str],
        /// Behaviours before the refusal: none for a first sending.
        before: &'static [Behaviour],
    }
    let cases = [
        Case { kinds: &KINDS, before: &[] },
        Case { kinds: &["safe", "resumable"], before: &[Fail] },
        Case { kinds: &["resumable"], before: &[Broken(FIRST_EVENT)] },
    ];
    for Case { kinds, before } in cases {
        for kind in kinds {
            for refusal in refusals() {
                check_refusal(kind, before, refusal).await;
            }
        }
    }
}

fn refusals() -> impl Iterator<Item = StaleRefusal> {
    [503, 429, 421, 408, 400].into_iter().flat_map(|status| {
        [None, Some("r0")].into_iter().flat_map(move |id| {
            [true, false].map(|is_marked| StaleRefusal { status, id, is_marked })
        })
    })
}

async fn check_refusal(kind: &str, before: &[Behaviour], refusal: StaleRefusal) {
    let name = format!("{kind} after {before:?}: {refusal:?}");
    let mut cluster = Cluster::start(2, 2).await;
    // The refusal comes on a kept connection.
    assert_eq!(cluster.status(kind).await, 200, "{name}");
    let replicas = if matches!(kind, "safe" | "unsafe") { &cluster.desks } else { &cluster.models };
    let plan: Vec<Behaviour> = before.iter().copied().chain([Stale(refusal)]).collect();
    Replica::plan_shared(replicas, &plan);
    let (id, answer) = cluster.answer(kind).await;
    let is_idempotent = matches!(kind, "safe" | "resumable");
    match answer {
        Some((200, body)) => {
            assert!(is_idempotent && is_complete(kind, &id, &body), "{name}: {body}")
        }
        Some((status, _)) => assert!([500, 502, 504].contains(&status), "{name}: {status}"),
        None => assert!(!before.is_empty(), "{name}: broken off"),
    }
    let max_runs = if is_idempotent { 2 } else { 1 };
    assert!(cluster.runs(&id) <= max_runs, "{name}: {} runs", cluster.runs(&id));
}
