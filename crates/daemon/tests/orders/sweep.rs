use crate::{
    order_system::{OrderSystem, order},
    support::{Answer, poll},
    wire_proxy::WireFault,
};
use cassiagw_standins::server::Down;
use futures::{StreamExt, stream};
use std::time::Duration;
use tokio::time::sleep;

/// Messages of one order on the wire: load, open, pull, and a repeat of one of these.
const MESSAGES: usize = 4;
/// Number of systems that run concurrently.
const MAX_SYSTEMS: usize = 24;
/// Time within which an execution in transit appears in the records of the services.
const EXECUTION_DELAY: Duration = Duration::from_millis(300);
/// Duration of the fault of a hanging service.
const HANG: Duration = Duration::from_millis(1_500);

/// Fault injected when the chosen message is about to be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Wire(WireFault),
    /// The message is forwarded after the caller got an answer.
    Late,
    KillEndpoints,
    RestartEndpoints,
    KillEntry,
    Kv(Down),
    KvLosesAnswer,
    KvFailsOnce,
    Service(Down),
    ServiceLosesAnswer,
}

const FAULTS: &[Fault] = &[
    Fault::Wire(WireFault::CutBefore),
    Fault::Wire(WireFault::CutAfter),
    Fault::Wire(WireFault::Freeze),
    Fault::Late,
    Fault::KillEndpoints,
    Fault::RestartEndpoints,
    Fault::KillEntry,
    Fault::Kv(Down::Refuse),
    Fault::Kv(Down::Unavailable),
    Fault::Kv(Down::Hang),
    Fault::KvLosesAnswer,
    Fault::KvFailsOnce,
    Fault::Service(Down::Refuse),
    Fault::Service(Down::Hang),
    Fault::ServiceLosesAnswer,
];

#[derive(Clone, Copy, Debug)]
struct Case {
    fault: Fault,
    /// Second fault, injected while the first lasts.
    second_fault: Option<Fault>,
    /// Number of the message at which the faults are injected.
    message: usize,
    is_keyed: bool,
}

/// Every fault at every message, with and without a key; some faults also with a killed entry.
fn cases() -> Vec<Case> {
    let at_messages = |fault, second_fault, is_keyed| {
        (1..=MESSAGES).map(move |message| Case { fault, second_fault, message, is_keyed })
    };
    let alone = FAULTS.iter().flat_map(|fault| at_messages(*fault, None, true));
    let unkeyed = FAULTS.iter().flat_map(|fault| at_messages(*fault, None, false));
    let twice = [Fault::KvLosesAnswer, Fault::Kv(Down::Refuse), Fault::RestartEndpoints]
        .into_iter()
        .flat_map(|fault| at_messages(fault, Some(Fault::KillEntry), true));
    alone.chain(unkeyed).chain(twice).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_fault_at_every_step_keeps_at_most_once_and_true_refusals() {
    let cases = cases();
    let failures = stream::iter(cases)
        .map(|case| tokio::spawn(run(case)))
        .buffer_unordered(MAX_SYSTEMS)
        .map(|result| result.expect("the case does not panic"))
        .collect::<Vec<_>>()
        .await;
    let failures = failures.into_iter().filter_map(Result::err).collect::<Vec<_>>();
    assert!(failures.is_empty(), "{failures:#?}");
}

async fn run(case: Case) -> Result<(), String> {
    let mut orders = OrderSystem::start().await;
    let key = case.is_keyed.then_some("order-1");
    let answer = send_with_fault(&mut orders, case, key).await;
    check_refusal(&orders, "first", &answer).await.map_err(|e| format!("{case:?}: {e}"))?;
    clear_faults(&mut orders).await;
    let mut answers = vec![answer];
    for _ in 0..if case.is_keyed { 2 } else { 0 } {
        let answer = orders.order(1, key).await;
        check_refusal(&orders, "repeat", &answer).await.map_err(|e| format!("{case:?}: {e}"))?;
        answers.push(answer);
    }
    let replies = answers.iter().map(|a| (a.status, a.code(), a.not_run())).collect::<Vec<_>>();
    println!("{case:?} runs={} replies={replies:?}", orders.all_runs());
    check_runs(&orders, &answers).map_err(|e| format!("{case:?}: {e}"))
}

/// Sends an order through the first entry and injects the faults at the chosen message.
async fn send_with_fault(
    orders: &mut OrderSystem,
    case: Case,
    key: Option<&'static str>,
) -> Answer {
    let wire_fault = match case.fault {
        Fault::Wire(fault) => fault,
        _ => WireFault::Pause,
    };
    let (reached, resume) = orders.plan.arm(case.message, wire_fault);
    let (client, entry) = (orders.system.client.clone(), orders.system.entries[0].http);
    let mut first = tokio::spawn(async move { order(&client, entry, key).await });
    tokio::select! {
        // The order may end before this message is sent.
        answer = &mut first => return answer.expect("the task does not panic"),
        _ = reached => {}
    }
    inject(orders, case.fault).await;
    if let Some(fault) = case.second_fault {
        inject(orders, fault).await;
    }
    if case.fault == Fault::Late {
        let answer = first.await.expect("the task does not panic");
        resume.notify_one();
        sleep(EXECUTION_DELAY).await;
        return answer;
    }
    resume.notify_one();
    if case.fault == Fault::Service(Down::Hang) {
        sleep(HANG).await;
        clear_service_faults(orders);
    }
    first.await.expect("the task does not panic")
}

async fn inject(orders: &mut OrderSystem, fault: Fault) {
    match fault {
        Fault::Wire(_) | Fault::Late => {}
        Fault::KillEndpoints => {
            orders.system.endpoints.iter_mut().for_each(|part| part.daemon.kill());
        }
        Fault::RestartEndpoints => {
            for index in 0..orders.system.endpoints.len() {
                orders.restart_endpoint(index).await;
            }
        }
        Fault::KillEntry => orders.system.entries[0].daemon.kill(),
        Fault::Kv(down) => orders.system.kv.set_faults(|faults| faults.answers.down = down),
        Fault::KvLosesAnswer => orders.system.kv.set_faults(|f| f.answers.lose_next_answers = 1),
        Fault::KvFailsOnce => orders.system.kv.set_faults(|f| f.answers.fail_next = 1),
        Fault::Service(down) => orders
            .system
            .services
            .iter()
            .for_each(|service| service.set_faults(|faults| faults.answers.down = down)),
        Fault::ServiceLosesAnswer => orders
            .system
            .services
            .iter()
            .for_each(|service| service.set_faults(|f| f.answers.lose_next_answers = 1)),
    }
}

/// Clears every fault and restarts killed endpoint daemons; a killed entry stays stopped.
async fn clear_faults(orders: &mut OrderSystem) {
    orders.system.kv.set_faults(|faults| faults.answers = Default::default());
    clear_service_faults(orders);
    for index in 0..orders.system.endpoints.len() {
        if !orders.system.endpoints[index].daemon.is_running() {
            orders.restart_endpoint(index).await;
        }
    }
    let system = &orders.system;
    system.wait_until_settled().await;
    let entry = &system.entries[1].daemon.cx;
    poll("the second entry has the settings", || entry.view().tree.endpoints.len() == 2).await;
}

fn clear_service_faults(orders: &OrderSystem) {
    let services = orders.system.services.iter();
    services.for_each(|service| service.set_faults(|f| f.answers = Default::default()));
}

/// Checks that nothing has run so far if the answer says "not run".
async fn check_refusal(orders: &OrderSystem, name: &str, answer: &Answer) -> Result<(), String> {
    if answer.not_run() == Some(true) {
        sleep(EXECUTION_DELAY).await;
        let runs = orders.all_runs();
        return (runs == 0).then_some(()).ok_or(format!("{name}: {runs} runs, {answer:?}"));
    }
    Ok(())
}

/// Checks that the services ran the order at most once and that all successful answers are equal.
fn check_runs(orders: &OrderSystem, answers: &[Answer]) -> Result<(), String> {
    let runs = orders.all_runs();
    let mut successes = answers.iter().filter(|answer| answer.status == 200);
    let first = successes.next();
    let is_same = successes.all(|answer| Some(&answer.document) == first.map(|a| &a.document));
    let is_valid = runs <= 1 && is_same && (first.is_none() || runs == 1);
    is_valid.then_some(()).ok_or(format!("{runs} runs, {answers:?}"))
}
