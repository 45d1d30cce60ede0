//! Replication of settings and membership across several daemons during failures of the key-value
//! service and the network.

mod control_support;

use cassiagw_core::{ledger::LedgerKeys, membership::GossipConfig, settings::Change};
use cassiagw_standins::{hosts, kv, server::Down};
use cassiagw_surfaces::kv::{KvClient, LedgerClient};
use cassiagwd::control::{ControlConfig, EditOutcome};
use control_support::{Node, fleet, fleet_without_service_proxies, set_zone};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::timeout;

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_is_in_force_on_every_daemon() {
    let (_kv, nodes) = fleet(5).await;
    for (i, state) in ["in", "out", "in"].into_iter().enumerate() {
        let outcome = nodes[i].edit(&[set_zone("z0", state)]).await;
        assert_eq!(outcome, EditOutcome::Accepted(i as u64 + 1), "{state}");
        for node in &nodes {
            node.wait_until("the change", |view| view.tree.revision == i as u64 + 1).await;
            assert_eq!(node.control.view().tree.is_zone_in_service("z0"), state == "in");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_known_to_a_peer_before_it_is_called_accepted() {
    let (_kv, nodes) = fleet(2).await;
    let [writer, peer] = &nodes[..] else { panic!("two daemons") };
    peer.service_proxy.close();
    for i in 1..6 {
        let outcome = writer.edit(&[set_zone("z0", "in")]).await;
        assert_eq!(outcome, EditOutcome::Accepted(i));
        assert_eq!(peer.control.view().tree.revision, i);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_by_reading_back() {
    let (kv, nodes) = fleet(2).await;
    kv.set_faults(|faults| faults.answers.lose_answers_permille = 400);
    let mut accepted = 0;
    for i in 0..20 {
        let state = if i % 2 == 0 { "in" } else { "out" };
        match nodes[0].edit(&[set_zone("z0", state)]).await {
            EditOutcome::Accepted(_) => accepted += 1,
            outcome => panic!("edit {i}: {outcome:?}"),
        }
    }
    kv.set_faults(|faults| faults.answers.lose_answers_permille = 0);
    assert_eq!(nodes[0].control.view().tree.revision, accepted, "each edit is in the log once");
    nodes[1].wait_until("all edits", |view| view.tree.revision == accepted).await;
}

struct Outage {
    down: Down,
    is_expected: fn(&EditOutcome) -> bool,
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_stops_edits_and_nothing_else() {
    let cases = [
        Outage { down: Down::Refuse, is_expected: |o| matches!(o, EditOutcome::NotAccepted(_)) },
        Outage { down: Down::Unavailable, is_expected: |o| *o == EditOutcome::Unknown },
        Outage { down: Down::Hang, is_expected: |o| *o == EditOutcome::Unknown },
    ];
    futures::future::join_all(cases.into_iter().map(edits_in_an_outage)).await;
}

async fn edits_in_an_outage(case: Outage) {
    let (kv, mut nodes) = fleet_without_service_proxies(4).await;
    assert_eq!(nodes[0].edit(&[set_zone("z0", "in")]).await, EditOutcome::Accepted(1));
    for node in &nodes {
        node.wait_until("the change", |view| view.tree.revision == 1).await;
    }
    kv.set_faults(|faults| faults.answers.down = case.down);
    // Longer than any contact timeout, so that views stay current only because the zones agree on
    // the outage.
    tokio::time::sleep(Duration::from_secs(7)).await;
    for node in &nodes {
        node.wait_until("a current view", |view| view.is_current).await;
    }
    let outcome = nodes[1].edit(&[set_zone("z0", "out")]).await;
    assert!((case.is_expected)(&outcome), "{:?}: {outcome:?}", case.down);
    nodes.pop().expect("a daemon").kill();
    let peers = nodes.iter().map(Node::address).collect();
    let late = Node::start("z1-late", kv.address, peers).await;
    late.wait_until("the settings", |view| view.tree.revision == 1 && view.is_current).await;
    kv.set_faults(|faults| faults.answers.down = Down::No);
    nodes[0].wait_until("the service", |view| view.is_current).await;
    let mut outcome = nodes[0].edit(&[set_zone("z1", "in")]).await;
    while !matches!(outcome, EditOutcome::Accepted(_)) {
        outcome = nodes[0].edit(&[set_zone("z1", "in")]).await;
    }
    late.wait_until("the change", |view| view.tree.zones.contains_key("z1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_is_cut_off_takes_no_work_and_catches_up() {
    let (_kv, nodes) = fleet(2).await;
    let [connected, isolated] = &nodes[..] else { panic!("two daemons") };
    assert_eq!(connected.edit(&[set_zone("z0", "in")]).await, EditOutcome::Accepted(1));
    isolated.wait_until("the change", |view| view.tree.revision == 1).await;
    isolated.isolate();
    connected.peer_proxy.close();
    isolated.wait_until("a view that is not current", |view| !view.is_current).await;
    connected.wait_until("a current view", |view| view.is_current).await;
    assert_eq!(connected.edit(&[set_zone("z0", "out")]).await, EditOutcome::Accepted(2));
    assert!(
        isolated.control.view().tree.is_zone_in_service("z0"),
        "an isolated daemon keeps its last settings"
    );
    isolated.peer_proxy.reopen();
    isolated.service_proxy.reopen();
    connected.peer_proxy.reopen();
    isolated
        .wait_until("the change", |view| view.is_current && !view.tree.is_zone_in_service("z0"))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_lose_nothing_silently() {
    let (_kv, nodes) = fleet(3).await;
    let base = match nodes[0].edit(&[set_zone("z0", "in")]).await {
        EditOutcome::Accepted(base) => base,
        outcome => panic!("{outcome:?}"),
    };
    let race = nodes.iter().enumerate().flat_map(|(i, node)| {
        (0..4).map(move |j| async move {
            let change = Change::new(format!("zones/n{i}-{j}"), control_support::zone("in"));
            let independent = node.edit_from(Some(base), &[change]).await;
            let conflicting = node.edit_from(Some(base), &[set_zone("z0", "out")]).await;
            (independent, conflicting)
        })
    });
    let outcomes = futures::future::join_all(race).await;
    assert!(
        outcomes.iter().all(|(independent, _)| matches!(independent, EditOutcome::Accepted(_)))
    );
    let won = outcomes
        .iter()
        .filter(|(_, conflicting)| matches!(conflicting, EditOutcome::Accepted(_)))
        .count();
    let conflicts = outcomes
        .iter()
        .filter(|(_, conflicting)| *conflicting == EditOutcome::Conflict(vec!["zones/z0".into()]))
        .count();
    assert_eq!((won, conflicts), (1, outcomes.len() - 1));
    let revisions = outcomes.iter().filter_map(|(independent, _)| match independent {
        EditOutcome::Accepted(revision) => Some(*revision),
        _ => None,
    });
    assert_eq!(revisions.collect::<BTreeSet<_>>().len(), outcomes.len());
    let last = base + outcomes.len() as u64 + 1;
    for node in &nodes {
        node.wait_until("every edit", |view| view.tree.revision == last).await;
        assert_eq!(node.control.view().tree.zones.len(), 1 + outcomes.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_is_compacted_and_a_new_daemon_reads_the_snapshot() {
    let kv = kv::spawn(kv::Config::default()).await;
    let gossip = GossipConfig {
        revisions_per_snapshot: 300,
        snapshot_jitter: Duration::ZERO,
        ..GossipConfig::default()
    };
    let with_gossip = |cfg: ControlConfig| cfg.with_gossip(gossip.clone());
    let first = Node::start_with("z0-first", kv.address, Vec::new(), with_gossip).await;
    first.wait_until("a current view", |view| view.is_current).await;
    for i in 0..301 {
        let outcome = first.edit(&[set_zone(&format!("n{i}"), "in")]).await;
        assert_eq!(outcome, EditOutcome::Accepted(i + 1));
    }
    let ledger = LedgerClient::new(
        KvClient::new(kv.address),
        LedgerKeys::new(format!("{}/settings", ControlConfig::PREFIX)),
    );
    let compacted = async {
        while ledger.read_page(1).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(60), compacted).await.expect("the log is compacted");
    assert!(ledger.read_page(301).await.is_ok(), "the newest record stays");
    let late = Node::start("z1-late", kv.address, Vec::new()).await;
    late.wait_until("the settings", |view| view.tree.revision == 301 && view.is_current).await;
    assert_eq!(late.control.view().tree.zones, first.control.view().tree.zones);
    assert_eq!(late.edit(&[set_zone("n0", "out")]).await, EditOutcome::Accepted(302));
    first.wait_until("the change", |view| !view.tree.is_zone_in_service("n0")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_host_is_known_to_all_although_few_read_the_list() {
    let kv = kv::spawn(kv::Config::default()).await;
    let list = hosts::spawn(hosts::Config::default()).await;
    let set = |state| list.set_host(hosts::Host { host: "h1".into(), zone: "z0".into(), state });
    set(hosts::HostState::Live);
    let mut nodes: Vec<Node> = Vec::new();
    for i in 0..4 {
        let peers = nodes.first().map(Node::address).into_iter().collect();
        let with_list = |cfg: ControlConfig| match i {
            0 => cfg.with_hosts(list.address),
            _ => cfg,
        };
        nodes.push(Node::start_with(&format!("z0-{i}"), kv.address, peers, with_list).await);
        nodes[i].wait_until("a current view", |view| view.is_current).await;
    }
    set(hosts::HostState::Leaving);
    for node in &nodes {
        node.wait_until("the leaving host", |view| view.leaving.contains("h1")).await;
    }
    set(hosts::HostState::Live);
    for node in &nodes {
        node.wait_until("the host back", |view| view.leaving.is_empty()).await;
    }
}
