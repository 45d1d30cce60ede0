use crate::{
    order_system::{OrderSystem, order},
    support::{Answer, OPERATOR_TOKEN, Process, deployment_of, poll},
    wire_proxy::WireFault,
};
use cassiagw_core::settings::TokenHash;
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

/// Number of the message that opens the attempt.
const OPEN: usize = 2;
/// Number of the message that pulls the answer.
const PULL: usize = 3;
/// Time for which a process is stopped; longer than every reply timeout.
const STOP: Duration = Duration::from_secs(3);

/// An entry and the endpoint daemon as separate processes, and two entries in the test process.
struct ProcessSystem {
    orders: OrderSystem,
    entry: Process,
    endpoint: Process,
}

impl ProcessSystem {
    async fn start() -> Self {
        let mut orders = OrderSystem::with_services(1).await;
        let part = &mut orders.system.endpoints[0];
        part.daemon.kill();
        let endpoint = Process::start(&part.config).await;
        orders.redirect(0, endpoint.address("rpc"));
        let peers = orders.system.entries.iter().map(|entry| entry.peer).collect::<Vec<_>>();
        let address = orders.system.next_daemon_address();
        let entry = Process::start(&json!({
            "name": "entry-process",
            "deployment": deployment_of(orders.system.kv.address),
            "host": "host-entry-process",
            "zone": "za",
            "role": "entry",
            "listen": {"http": address, "peer": address, "admin": address},
            "platform": {"kv": [orders.system.kv.address]},
            "peers": peers,
            "operator_token": TokenHash::of(OPERATOR_TOKEN),
        }))
        .await;
        let system = Self { orders, entry, endpoint };
        system.wait_until_it_serves().await;
        system
    }

    /// Sends orders with distinct keys until the entry process answers one with success.
    async fn wait_until_it_serves(&self) {
        for number in 0..500 {
            if self.order(&format!("warm-{number}")).await.status == 200 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the entry process does not serve orders");
    }

    async fn order(&self, key: &str) -> Answer {
        order(&self.orders.system.client, self.entry.address("http"), Some(key)).await
    }

    /// Sends an order through the entry process and waits until the proxy holds its `message`.
    async fn order_up_to(
        &self,
        message: usize,
    ) -> (tokio::task::JoinHandle<Answer>, std::sync::Arc<tokio::sync::Notify>) {
        let (reached, resume) = self.orders.plan.arm(message, WireFault::Pause);
        let (client, http) = (self.orders.system.client.clone(), self.entry.address("http"));
        let first = tokio::spawn(async move { order(&client, http, Some("order-1")).await });
        reached.await.expect("the message reaches the proxy");
        (first, resume)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_stopped_at_its_dispatch_and_continued_later_runs_nothing_again() {
    let system = ProcessSystem::start().await;
    let (first, resume) = system.order_up_to(OPEN).await;
    system.entry.signal("STOP");
    let repeat = system.orders.order(1, Some("order-1")).await;
    assert_eq!((repeat.status, system.orders.runs("order-1")), (200, 1), "{repeat:?}");
    system.entry.signal("CONT");
    resume.notify_one();
    let first = first.await.expect("the task does not panic");
    assert_eq!(first, repeat, "the caller of the stopped entry gets the answer of the only run");
    assert_eq!(system.orders.runs("order-1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_entry_process_leaves_its_order_to_the_next() {
    let system = ProcessSystem::start().await;
    let (first, resume) = system.order_up_to(PULL).await;
    system.entry.signal("KILL");
    resume.notify_one();
    assert_eq!(first.await.expect("the task does not panic").status, 0, "the connection is closed");
    let answers = [
        system.orders.order(0, Some("order-1")).await,
        system.orders.order(1, Some("order-1")).await,
    ];
    assert_eq!((answers[0].status, &answers[0]), (200, &answers[1]));
    assert_eq!(system.orders.runs("order-1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_endpoint_daemon_makes_its_order_unknown_for_good() {
    let mut system = ProcessSystem::start().await;
    let (first, resume) = system.order_up_to(PULL).await;
    poll("the service ran the order", || system.orders.runs("order-1") == 1).await;
    system.endpoint.signal("KILL");
    system.endpoint = Process::start(&system.orders.system.endpoints[0].config).await;
    system.orders.redirect(0, system.endpoint.address("rpc"));
    resume.notify_one();
    let first = first.await.expect("the task does not panic");
    let repeat = system.orders.order(1, Some("order-1")).await;
    for answer in [first, repeat] {
        assert_eq!((answer.code(), answer.not_run()), ("outcome_unknown", None), "{answer:?}");
    }
    assert_eq!(system.orders.runs("order-1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_endpoint_daemon_that_was_stopped_runs_an_order_once() {
    for message in [OPEN, PULL] {
        let system = ProcessSystem::start().await;
        let (first, resume) = system.order_up_to(message).await;
        system.endpoint.signal("STOP");
        resume.notify_one();
        let repeat = async {
            sleep(STOP).await;
            system.endpoint.signal("CONT");
            system.orders.order(1, Some("order-1")).await
        };
        let (first, repeat) = tokio::join!(first, repeat);
        let first = first.expect("the task does not panic");
        assert_eq!(repeat.status, 200, "{message}: {repeat:?}");
        assert!(first.status != 200 || first == repeat, "{message}: {first:?}");
        assert_ne!(first.not_run(), Some(true), "{message}: {first:?}");
        assert_eq!(system.orders.runs("order-1"), 1, "{message}");
    }
}
