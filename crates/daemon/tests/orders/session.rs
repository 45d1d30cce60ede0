use crate::{
    order_system::{OrderSystem, order},
    support::{Answer, SERVICE, poll},
    wire_proxy::WireFault,
};
use cassiagw_standins::server::Down;
use serde_json::{Value, json};

/// Number of the message that pulls the answer; the order was accepted before it.
const PULL: usize = 3;

/// One step of the session.
fn session_step(orders: &OrderSystem, what: &str, answer: &Answer) -> Value {
    json!({
        "what": what,
        "status": answer.status,
        "answer": answer.document,
        "runs": orders.all_runs(),
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_repeated_across_a_killed_entry() {
    let mut orders = OrderSystem::with_services(1).await;
    let key = Some("apron-order-0417");
    let mut session = Vec::new();

    let (reached, resume) = orders.plan.arm(PULL, WireFault::Pause);
    let (client, entry) = (orders.system.client.clone(), orders.system.entries[0].http);
    let first = tokio::spawn(async move { order(&client, entry, key).await });
    reached.await.expect("the pull reaches the proxy");
    poll("the order runs", || orders.all_runs() == 1).await;
    orders.system.entries[0].daemon.kill();
    resume.notify_one();
    let mut lost = first.await.expect("the task does not panic");
    // The error text contains a port, which differs between runs.
    lost.document = Value::Null;
    session.push(session_step(&orders, "first entry killed before its answer", &lost));

    let again = orders.order(1, key).await;
    session.push(session_step(&orders, "repeat through the second entry", &again));
    let again = orders.order(1, key).await;
    session.push(session_step(&orders, "repeat once more", &again));

    let path = format!("/v1/services/{SERVICE}/orders");
    let (client, entry) = (&orders.system.client, orders.system.entries[1].http);
    let other = client.order(entry, "chiclayo", &path, key, &json!({"aprons": 13})).await;
    session.push(session_step(&orders, "same key, other content", &other));
    let other = client.order(entry, "hangang", &path, key, &json!({"aprons": 12})).await;
    session.push(session_step(&orders, "same key, other workspace", &other));

    orders.system.kv.set_faults(|faults| faults.answers.down = Down::Refuse);
    let known = orders.order(1, key).await;
    session.push(session_step(&orders, "repeat while the key-value service is down", &known));
    insta::assert_json_snapshot!(session);
}
