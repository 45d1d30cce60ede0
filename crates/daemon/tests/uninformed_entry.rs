//! Endpoint daemons refuse requests from entries with outdated settings, and entries retry at
//! another endpoint after a refusal.

mod support;

use cassiagw_core::settings::Priority;
use cassiagw_rpc::{Deployment, OpenReply, OpenRequest, Refusal, Work, connect_endpoint};
use std::time::{Duration, Instant};
use support::{MODEL, System, SystemSpec, poll};
use tarpc::context::{self, Context};

/// Timeout of connecting and of each RPC, and time limit of each attempt.
const TIMEOUT: Duration = Duration::from_secs(10);

fn cx() -> Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + TIMEOUT;
    cx
}

/// Opens an attempt as an entry with outdated settings would.
async fn open(system: &System, index: usize, attempt: u128) -> OpenReply {
    let endpoint = &system.endpoints[index];
    let client =
        connect_endpoint(endpoint.rpc, Deployment::new(&endpoint.daemon.cx.cfg.prefix()), TIMEOUT)
            .await
            .expect("the daemon listens");
    let req = OpenRequest {
        attempt,
        endpoint: endpoint.id.as_str().into(),
        boot: None,
        revision: 0,
        sender: ([127, 0, 0, 1], 0).into(),
        workspace: "chiclayo".into(),
        model: MODEL.into(),
        adapter: None,
        version: Some("v1".into()),
        priority: Priority::Interactive,
        time_left: TIMEOUT,
        pieces: Vec::new(),
        work: Work::Completion { prompt: "a prompt".to_owned(), max_tokens: 1 },
    };
    client.open(cx(), req).await.expect("the daemon replies")
}

fn reason(reply: OpenReply) -> Option<Refusal> {
    match reply {
        OpenReply::Accepted { .. } => None,
        OpenReply::Refused { reason, load } => {
            assert!(load.leaving && load.credits == 0, "{load:?}");
            Some(reason)
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoint_daemons_refuse_what_an_uninformed_entry_sends() {
    let system = System::start(SystemSpec::default()).await;
    assert_eq!(system.endpoints[0].zone, "za");
    assert_eq!(reason(open(&system, 0, 1).await), None);
    assert_eq!(system.set_zone("za", "out").await.status, 200);
    system.wait_until_settled().await;
    assert_eq!(reason(open(&system, 0, 2).await), Some(Refusal::ZoneOut));
    assert_eq!(reason(open(&system, 1, 3).await), None, "the other zone is in service");
    assert_eq!(system.set_zone("za", "in").await.status, 200);
    system.wait_until_settled().await;
    assert_eq!(reason(open(&system, 0, 4).await), None, "the zone is in service again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_daemon_refuses_and_the_entry_goes_elsewhere() {
    let system = System::start(SystemSpec::default()).await;
    system.endpoints[0].daemon.cx.draining.send_replace(true);
    assert_eq!(reason(open(&system, 0, 1).await), Some(Refusal::Leaving));
    for number in 0..8 {
        let prompt = format!("prompt {number}");
        let entry = system.entries[number % 2].http;
        let answer = system.client.complete(entry, "hangang", MODEL, &prompt, 2).await;
        assert!(answer.is_whole, "{answer:?}");
    }
    poll("the other engine ran all prompts", || system.engines[1].records().runs.len() == 8).await;
    assert!(system.engines[0].records().runs.is_empty());
}
