use super::demo_summary::{DemoSummary, executions_by_key};
use crate::{
    client::{Caller, CompletionCall, OrderCall, OrderResult},
    fleet::{EngineSpec, Fleet, FleetError, FleetSpec, StoreSpec, caller_token},
};
use cassiagw_standins::engine::expected_completion;
use futures::future::join_all;
use serde_json::{Value, json};
use std::path::PathBuf;

/// Number of prompts sent.
const PROMPTS: usize = 24;
/// Number of orders sent, each once through every entry.
const ORDERS: usize = 16;
/// Maximum number of tokens generated per completion.
const MAX_TOKENS: u32 = 10;
/// Number of tokens per cache piece, small so that the short prompts of the demo span several.
const PIECE_TOKENS: u32 = 32;
/// Model that the prompts are sent to.
const MODEL: &str = "order-text";
/// Plain service that the orders are sent to.
const SERVICE: &str = "warehouse";
/// Workspaces of the callers.
const WORKSPACES: [&str; 2] = ["chiclayo", "hangang"];

/// Starts the deployment of the demo: two zones, two entries, three engines, a plain service and a
/// store.
///
/// # Errors
/// A process cannot be started or does not become ready.
pub async fn start_demo(programs: PathBuf) -> Result<Fleet, FleetError> {
    let engine = |seed: u64| EngineSpec {
        model: MODEL.to_owned(),
        config: json!({
            "seed": seed,
            "model": MODEL,
            "piece_tokens": PIECE_TOKENS,
            "prefill_per_token_us": 100,
            "decode_per_token_us": 2_000,
        }),
    };
    Fleet::start(FleetSpec {
        programs,
        region: "demo".to_owned(),
        zones: vec!["demo-a".to_owned(), "demo-b".to_owned()],
        entries: 2,
        engines: (1..=3).map(engine).collect(),
        services: vec![SERVICE.to_owned()],
        stores: vec![StoreSpec { config: json!({}) }],
        workspaces: WORKSPACES.iter().map(|name| (*name).to_owned()).collect(),
        piece_tokens: PIECE_TOKENS,
        max_running: 8,
        cold_running: 2,
    })
    .await
}

/// Sends prompts and orders through both entries and summarizes their results.
///
/// # Errors
/// The stand-ins' records cannot be read.
pub async fn run_demo(fleet: &Fleet) -> Result<DemoSummary, FleetError> {
    let caller = Caller::default();
    let prompts = join_all((0..PROMPTS).map(|number| check_prompt(fleet, &caller, number))).await;
    let orders = join_all((0..ORDERS).map(|number| send_order(fleet, &caller, number))).await;
    let services = fleet.endpoints.iter().filter(|endpoint| endpoint.model == SERVICE);
    let records = services.map(|service| fleet.read(service.upstream, "/admin/records"));
    let records: Vec<Value> = join_all(records).await.into_iter().collect::<Result<_, _>>()?;
    let executions = executions_by_key(&records);
    let complete_orders: Vec<&(String, bool)> =
        orders.iter().filter(|(_, is_complete)| *is_complete).collect();
    let complete_prompts = prompts.iter().filter(|is_complete| **is_complete).count();
    let lost_orders = orders.iter().filter(|(key, _)| !executions.contains_key(key)).count();
    Ok(DemoSummary {
        served: prompts.len() + orders.len(),
        whole: complete_prompts + complete_orders.len(),
        lost: prompts.len() - complete_prompts + lost_orders,
        duplicated: executions.values().map(|count| count - 1).sum(),
    })
}

/// Sends one prompt. Returns whether the response is complete and has the expected text.
async fn check_prompt(fleet: &Fleet, caller: &Caller, number: usize) -> bool {
    let manual = "fit the axle before the cradle and order the apron in its size ".repeat(12);
    let prompt = format!("{manual} question {number}");
    let call = CompletionCall {
        token: caller_token(WORKSPACES[number % WORKSPACES.len()]),
        model: MODEL.to_owned(),
        prompt: prompt.clone(),
        max_tokens: MAX_TOKENS,
        priority: "interactive".to_owned(),
    };
    let result = caller.complete(fleet.entries[number % fleet.entries.len()], &call).await;
    let expected = expected_completion(MODEL, "v1", None, &prompt, MAX_TOKENS as usize);
    let has_expected_text = result.text.split_whitespace().eq(expected.iter().map(String::as_str));
    if !result.is_whole || !has_expected_text {
        log::warn!(event = "prompt_not_whole", prompt = number, result:? = result; "");
    }
    result.is_whole && has_expected_text
}

/// Sends one order through all entries concurrently. Returns its key and whether every response is
/// the same successful response of the service.
async fn send_order(fleet: &Fleet, caller: &Caller, number: usize) -> (String, bool) {
    let key = format!("demo-order-{number}");
    let call = OrderCall {
        token: caller_token(WORKSPACES[number % WORKSPACES.len()]),
        service: SERVICE.to_owned(),
        path: "/orders".to_owned(),
        key: Some(key.clone()),
        body: json!({"item": "apron", "number": number}),
    };
    let results: Vec<OrderResult> =
        join_all(fleet.entries.iter().map(|entry| caller.order(*entry, &call))).await;
    let is_answered = results.iter().all(OrderResult::is_answered);
    let is_same_body = results.windows(2).all(|pair| pair[0].body == pair[1].body);
    if !is_answered || !is_same_body {
        log::warn!(event = "order_not_whole", key = key, results:? = results; "");
    }
    (key, is_answered && is_same_body)
}
