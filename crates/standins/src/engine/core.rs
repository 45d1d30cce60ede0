use super::{
    block::{Block, Scope},
    cache::{Content, PrefixCache, PrefixMatch},
    config::{Config, Faults},
    events::{EventKind, EventLog},
    hash_chain::HashChain,
    load::{Load, LoadHistory},
    orders::OrderState,
    records::{Records, RunOutcome},
    run::{Run, RunEnd, Usage},
};
use crate::server::{ColdStart, FaultCell};
use bytes::Bytes;
use foldhash::HashMap;
use rand::RngExt;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Mutable state of an engine, guarded by a single mutex.
#[derive(Debug)]
pub struct Core {
    /// Loaded versions and adapters, role and fencing token.
    pub state: OrderState,
    /// Requests, orders and counters since the process started; kept across reboots.
    pub records: Records,
    /// Cache events of this boot.
    pub events: EventLog,
    /// Recent load samples, for reporting stale load.
    pub loads: LoadHistory,
    /// Cold-start state; none if the engine is always warm.
    pub cold: Option<ColdStart>,
    /// Active and retained runs by request ID.
    pub runs: HashMap<String, Arc<Run>>,
    /// Queued requests, ordered by descending priority, then arrival.
    pub waiting: BTreeMap<(Reverse<i64>, u64), Arc<Run>>,
    /// Number of running requests.
    pub running: usize,
    /// Number of running requests in the prefill phase.
    pub prefilling: usize,
    cache: PrefixCache,
    /// IDs of the retained ended runs, oldest first.
    ended: VecDeque<String>,
    /// Number of runs that have not ended, queued or running.
    active: usize,
    /// Number of requests queued so far; orders requests of equal priority.
    arrivals: u64,
    /// Number of prefills started so far.
    starts: u64,
}

impl Core {
    /// Creates the state of a freshly booted engine.
    pub fn new(cfg: &Config, boot: u64) -> Self {
        let mut core = Self {
            state: initial_state(cfg, boot),
            records: Records { boot, ..Records::default() },
            events: EventLog::default(),
            loads: LoadHistory::default(),
            cold: cfg.cold.map(ColdStart::new),
            runs: HashMap::default(),
            waiting: BTreeMap::new(),
            running: 0,
            prefilling: 0,
            cache: PrefixCache::new(cfg.cache_pieces),
            ended: VecDeque::new(),
            active: 0,
            arrivals: 0,
            starts: 0,
        };
        core.loads.push(core.load(), Duration::ZERO);
        core
    }

    /// Fails every run and resets all state except the records.
    pub fn reboot(&mut self, cfg: &Config, boot: u64) {
        self.fail_all();
        let fresh = Self::new(cfg, boot);
        let old = std::mem::replace(self, fresh);
        self.records = Records { boot, ..old.records };
        // Tasks of failed runs still decrement `running` and `prefilling` when they end. `starts`
        // continues because the kept records hold its values.
        self.running = old.running;
        self.starts = old.starts;
        self.prefilling = old.prefilling;
    }

    /// Current load.
    pub fn load(&self) -> Load {
        Load {
            boot: self.state.boot,
            running: self.running,
            waiting: self.waiting.len(),
            versions: BTreeMap::from([(self.state.model.clone(), self.state.versions.clone())]),
            adapters: self.state.adapters.clone(),
            pieces: self.cache.len(),
            role: self.state.role.clone(),
        }
    }

    /// Queues a request. Exceeding the concurrency limit of a cold engine fails all requests and
    /// resets its warm-up.
    pub fn enqueue(&mut self, priority: i64, run: Arc<Run>) {
        self.arrivals += 1;
        self.runs.insert(run.id.clone(), run.clone());
        self.waiting.insert((Reverse(priority), self.arrivals), run);
        self.active += 1;
        let concurrent = self.active;
        self.records.most_concurrent = self.records.most_concurrent.max(concurrent);
        if self.cold.and_then(|cold| cold.limit()).is_some_and(|limit| concurrent > limit) {
            self.records.overload_cold += 1;
            self.fail_all();
            self.turn_cold();
        }
    }

    /// Restarts the warm-up. Nothing reports this to clients.
    pub fn turn_cold(&mut self) {
        self.cold.iter_mut().for_each(ColdStart::reset);
    }

    /// Fails every active run and removes all streams, including those of ended runs.
    pub fn fail_all(&mut self) {
        let runs = std::mem::take(&mut self.runs);
        runs.values().for_each(|run| self.end(run, RunEnd::Failed, 0));
    }

    /// Ends a run unless it has already ended. Streams of the last `retained` ended runs can still
    /// be resumed.
    pub fn end(&mut self, run: &Run, end: RunEnd, retained: usize) {
        let is_first = run.progress.send_if_modified(|progress| {
            let is_first = progress.end.is_none();
            progress.end.get_or_insert(end);
            is_first
        });
        if !is_first {
            return;
        }
        self.active -= 1;
        let record = &mut self.records.runs[run.record];
        record.tokens = run.progress.borrow().tokens.len();
        record.outcome = match end {
            RunEnd::Finished => RunOutcome::Finished,
            RunEnd::Canceled => RunOutcome::Canceled,
            RunEnd::Failed => RunOutcome::Failed,
        };
        self.waiting.retain(|_, waiting| waiting.id != run.id);
        self.ended.push_back(run.id.clone());
        while self.ended.len() > retained
            && let Some(id) = self.ended.pop_front()
        {
            self.runs.remove(&id);
        }
    }

    /// Looks up a run's prompt in the cache and records the reused and computed tokens.
    pub fn begin_prefill(&mut self, run: &Run, piece_tokens: usize) -> (Usage, PrefixMatch) {
        let prefix_match = self.cache.match_prefix(&run.scope, &run.keys, &run.prompt.pieces);
        let usage = Usage {
            prompt_tokens: run.prompt.tokens,
            cached_tokens: prefix_match.pieces * piece_tokens,
        };
        self.starts += 1;
        self.records.runs[run.record].started = self.starts;
        self.records.runs[run.record].cached_tokens = usage.cached_tokens;
        self.records.reused_tokens += usage.cached_tokens as u64;
        self.records.computed_tokens += (usage.prompt_tokens - usage.cached_tokens) as u64;
        self.records.wrong_reads += u64::from(prefix_match.is_invalid);
        (usage, prefix_match)
    }

    /// Inserts the complete pieces that a run computed. They are damaged if the reused prefix was
    /// invalid.
    pub fn finish_prefill(
        &mut self,
        run: &Run,
        prefix_match: PrefixMatch,
        faults: &FaultCell<Faults>,
    ) {
        let computed = run.keys.iter().zip(&run.prompt.pieces).skip(prefix_match.pieces);
        for (key, piece) in computed {
            let content = match prefix_match.is_invalid {
                true => Content::Damaged,
                false => Content::Computed(piece.to_hex()),
            };
            self.insert_piece(&run.scope, key, content, faults);
        }
    }

    /// Inserts imported bytes. Like an engine that does not verify imports, it also accepts bytes
    /// that are damaged or belong to another key, but counts them.
    pub fn import(&mut self, key: &str, bytes: &Bytes, faults: &FaultCell<Faults>) {
        self.records.imports += 1;
        match Block::from_bytes(bytes) {
            Ok(block) if block.header.key == key => {
                let content = Content::Computed(block.header.content);
                self.insert_piece(&block.header.scope, key, content, faults);
            }
            _ => {
                self.records.bad_imports += 1;
                let no_scope = Scope::default();
                self.insert_piece(&no_scope, key, Content::Damaged, faults);
            }
        }
    }

    /// Exports a piece; none if the cache has no undamaged piece with this key.
    pub fn export(&mut self, key: &str, body_bytes: usize) -> Option<Block> {
        let (scope, content) = self.cache.get(key)?;
        let block = Block::new(key, scope.clone(), content, body_bytes);
        self.records.exports += 1;
        Some(block)
    }

    /// Clears the cache and publishes the removals.
    pub fn drop_cache(&mut self, faults: &FaultCell<Faults>) {
        let keys = self.cache.clear();
        keys.into_iter().for_each(|key| self.publish(EventKind::Removed, key, faults));
    }

    /// Records a sample of the current load.
    pub fn sample_load(&mut self, lag: Duration) {
        self.loads.push(self.load(), lag);
    }

    fn insert_piece(
        &mut self,
        scope: &Scope,
        key: &str,
        content: Content,
        faults: &FaultCell<Faults>,
    ) {
        let evicted = self.cache.insert(scope, key, content);
        self.publish(EventKind::Stored, key.into(), faults);
        evicted.into_iter().for_each(|key| self.publish(EventKind::Removed, key, faults));
    }

    fn publish(&mut self, kind: EventKind, key: String, faults: &FaultCell<Faults>) {
        let is_hidden = faults.draw(|faults, rng| {
            faults.event_gap_permille > 0 && rng.random_range(0..1000) < faults.event_gap_permille
        });
        self.events.push(kind, key, is_hidden);
    }
}

fn initial_state(cfg: &Config, boot: u64) -> OrderState {
    OrderState {
        boot,
        fence: 0,
        model: cfg.model.clone(),
        versions: cfg.versions.clone(),
        adapters: cfg.adapters.clone(),
        role: "both".into(),
    }
}

/// Hash chain before the first token of a prompt.
pub fn initial_chain(model: &str, scope: &Scope) -> HashChain {
    HashChain::new(model, &scope.version, &scope.adapter)
}
