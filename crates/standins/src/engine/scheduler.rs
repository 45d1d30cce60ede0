use super::{
    core::Core,
    run::{Run, RunEnd},
    server::Engine,
};
use std::{sync::Arc, time::Duration};
use tokio::{
    select,
    task::yield_now,
    time::{Instant, sleep_until},
};

/// Starts queued requests up to the limits on running requests and prefills, then samples the load.
pub fn start_waiting(engine: &Arc<Engine>, core: &mut Core) {
    while core.running < engine.cfg.max_running
        && core.prefilling < engine.cfg.prefill_lanes
        && let Some((_, run)) = core.waiting.pop_first()
    {
        core.running += 1;
        core.prefilling += 1;
        tokio::spawn(execute(engine.clone(), run));
    }
    core.sample_load(engine.load_lag());
}

async fn execute(engine: Arc<Engine>, run: Arc<Run>) {
    let reused_invalid = prefill(&engine, &run).await;
    decode(&engine, &run, reused_invalid).await;
    let mut core = engine.core();
    core.running -= 1;
    if !run.has_ended() {
        core.cold.iter_mut().for_each(|cold| cold.on_served());
        core.end(&run, RunEnd::Finished, engine.cfg.retained_runs);
    }
    start_waiting(&engine, &mut core);
}

/// Simulates prefill and returns whether an invalid cache piece was reused.
async fn prefill(engine: &Arc<Engine>, run: &Run) -> bool {
    let (usage, prefix_match) = engine.core().begin_prefill(run, engine.cfg.piece_tokens);
    let computed = (usage.prompt_tokens - usage.cached_tokens) as u64;
    let time = Duration::from_micros(engine.cfg.prefill_per_token_us * computed);
    wait_until(run, Instant::now() + engine.scale_time(time)).await;
    run.progress.send_modify(|progress| progress.usage = usage);
    let mut core = engine.core();
    core.prefilling -= 1;
    if !run.has_ended() {
        core.finish_prefill(run, prefix_match, &engine.faults);
    }
    start_waiting(engine, &mut core);
    prefix_match.is_invalid
}

async fn decode(engine: &Engine, run: &Run, reused_invalid: bool) {
    let mut chain = run.prompt.end;
    if reused_invalid {
        chain.poison();
    }
    let mut due = Instant::now();
    for _ in 0..run.max_tokens {
        due += engine.scale_time(Duration::from_micros(engine.cfg.decode_per_token_us));
        wait_until(run, due).await;
        if run.has_ended() {
            return;
        }
        let token = chain.generate_token();
        run.progress.send_modify(|progress| progress.tokens.push(token));
    }
}

/// Waits until `due` or until the run ends, whichever comes first.
async fn wait_until(run: &Run, due: Instant) {
    if due <= Instant::now() {
        return yield_now().await;
    }
    select! {
        () = sleep_until(due) => {}
        () = run.ended() => {}
    }
}
