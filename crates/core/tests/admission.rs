//! Admission control of one endpoint: warm-up, start order, fairness and refusals, also against a
//! simple reference model.

use cassiagw_core::{
    admission::{
        AdmissionConfig, AdmissionControl, AdmissionRefusal, Decision, Finished, RampConfig, Ticket,
    },
    ids::AttemptId,
    settings::Priority::{self, Batch, Interactive},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);
const SERVED: Finished = Finished::Served { computed_tokens: 0 };

fn config(limit: u32) -> AdmissionConfig {
    let ramp = RampConfig { cold_limit: limit, warm_limit: limit, ..RampConfig::default() };
    AdmissionConfig { ramp, service_time: SECOND, ..AdmissionConfig::default() }
}

fn ticket(id: AttemptId, workspace: &str, priority: Priority, deadline: Instant) -> Ticket {
    Ticket {
        id,
        workspace: workspace.into(),
        weight: 1,
        priority,
        cost_tokens: 100,
        prefill_tokens: 100,
        deadline,
    }
}

fn started(decisions: &[Decision]) -> Vec<AttemptId> {
    let start = |decision: &Decision| match decision {
        Decision::Start(id) => Some(*id),
        Decision::Expire(_) => None,
    };
    decisions.iter().filter_map(start).collect()
}

/// Runs the queued requests one at a time and returns the order in which they start.
fn serial_order(mut admission: AdmissionControl, now: Instant) -> Vec<AttemptId> {
    let mut order = Vec::new();
    loop {
        let next = started(&admission.poll(now));
        let Some(id) = next.first() else { break };
        order.push(*id);
        admission.on_finished(now, *id, Finished::Cancelled);
    }
    order
}

#[test]
fn order_of_starts() {
    struct Case {
        name: &'static str,
        /// Workspace, priority and deadline in seconds of each request; the ids count up from 0.
        offers: &'static [(&'static str, Priority, u64)],
        max_passes: u32,
        order: &'static [AttemptId],
    }
    const B: u64 = 1_000;
    #[rustfmt::skip]
    let cases = [
        Case { name: "interactive first", offers: &[("a", Batch, B), ("a", Interactive, B), ("a", Interactive, B)], max_passes: 8, order: &[1, 2, 0] },
        Case { name: "interactive streak is bounded", offers: &[("a", Batch, B), ("a", Interactive, B), ("a", Interactive, B), ("a", Interactive, B)], max_passes: 2, order: &[1, 2, 0, 3] },
        Case { name: "near deadline first", offers: &[("c", Batch, 2), ("b", Batch, 30), ("a", Interactive, B)], max_passes: 8, order: &[0, 2, 1] },
        Case { name: "urgent batch alternates with interactive", offers: &[("b", Batch, 2), ("c", Batch, 2), ("a", Interactive, B)], max_passes: 8, order: &[0, 2, 1] },
        Case { name: "workspaces take turns", offers: &[("a", Interactive, B), ("a", Interactive, B), ("a", Interactive, B), ("b", Interactive, B), ("b", Interactive, B)], max_passes: 8, order: &[0, 3, 1, 4, 2] },
    ];
    for case in cases {
        let now = Instant::now();
        let cfg = AdmissionConfig { max_passes: case.max_passes, ..config(1) };
        let mut admission = AdmissionControl::new(cfg, now);
        for (id, (workspace, priority, deadline)) in (0..).zip(case.offers) {
            let ticket = ticket(id, workspace, *priority, now + *deadline as u32 * SECOND);
            assert_eq!(admission.offer(now, ticket), Ok(()), "{}: {id}", case.name);
        }
        assert_eq!(serial_order(admission, now), case.order, "{}", case.name);
    }
}

#[test]
fn ramp_grows_with_answers_and_falls_when_cold() {
    let now = Instant::now();
    let ramp =
        RampConfig { cold_limit: 2, warm_limit: 6, growth_permille: 500, min_warm_up: 4 * SECOND };
    let cfg = AdmissionConfig { ramp, ..config(0) };
    let mut admission = AdmissionControl::new(cfg, now);
    let mut run = |now, ids: std::ops::Range<u128>, prefill_ms, finished| {
        for id in ids {
            let ticket = ticket(id, "a", Interactive, now + 1_000 * SECOND);
            assert_eq!(admission.offer(now, ticket), Ok(()));
            assert_eq!(admission.poll(now), [Decision::Start(id)]);
            let first_token = now + Duration::from_millis(prefill_ms);
            admission.on_first_token(first_token, id);
            admission.on_finished(first_token, id, finished);
        }
        admission.clone()
    };
    let admission = run(now, 0..20, 0, SERVED);
    assert_eq!(admission.limit(now), 2, "growth is bounded by time");
    assert_eq!(admission.limit(now + 2 * SECOND), 4, "half of the warm-up");
    assert_eq!(admission.limit(now + 4 * SECOND), 6, "warm");
    assert_eq!(admission.load(now + 4 * SECOND, 1).warmth_permille, 1_000);
    let later = now + 10 * SECOND;
    let admission = run(later, 20..21, 0, Finished::Failed);
    assert_eq!(admission.limit(later), 2, "after a failure");
    assert_eq!(admission.limit(later + 10 * SECOND), 2, "no growth without completed requests");
    let computed = Finished::Served { computed_tokens: 1_000 };
    (21..41).for_each(|id| drop(run(later + id as u32 * SECOND, id..id + 1, 100, computed)));
    let warm = later + 60 * SECOND;
    assert_eq!(run(warm, 41..42, 100, computed).limit(warm), 6, "warm again");
    (42..45).for_each(|id| drop(run(warm + id as u32 * SECOND, id..id + 1, 500, computed)));
    let slow = warm + 60 * SECOND;
    assert_eq!(run(slow, 45..45, 0, SERVED).limit(slow), 2, "after slow prefills");
}

#[test]
fn expected_wait_counts_prompts_being_computed() {
    let now = Instant::now();
    let mut admission = AdmissionControl::new(config(4), now);
    for id in 0..2 {
        let ticket =
            Ticket { prefill_tokens: 1_000, ..ticket(id, "a", Interactive, now + 9 * SECOND) };
        assert_eq!(admission.offer(now, ticket), Ok(()));
    }
    assert_eq!(admission.poll(now), [Decision::Start(0)], "the first prompt is being computed");
    let per_token = admission.load(now, 1).prefill_per_token;
    assert_eq!(admission.load(now, 1).expected_wait, per_token * 2_000);
    admission.on_first_token(now + SECOND, 0);
    assert_eq!(admission.load(now + SECOND, 1).expected_wait, per_token * 1_000);
    assert_eq!(admission.poll(now + SECOND), [Decision::Start(1)]);
    assert_eq!(admission.load(now + SECOND, 1).expected_wait, per_token * 1_000);
    admission.on_finished(now + SECOND, 1, Finished::Cancelled);
    assert_eq!(admission.load(now + SECOND, 1).expected_wait, Duration::ZERO);
}

#[test]
fn a_fetch_does_not_hold_back_the_next_request() {
    let now = Instant::now();
    let mut admission = AdmissionControl::new(config(4), now);
    for id in 0..3 {
        let ticket =
            Ticket { prefill_tokens: 1_000, ..ticket(id, "a", Interactive, now + 9 * SECOND) };
        assert_eq!(admission.offer(now, ticket), Ok(()));
    }
    assert_eq!(admission.poll(now), [Decision::Start(0)]);
    admission.on_fetching(0);
    assert_eq!(admission.poll(now), [Decision::Start(1)]);
    admission.on_fetched(now, 0, 200);
    let per_token = admission.load(now, 1).prefill_per_token;
    assert_eq!(admission.load(now, 1).expected_wait, per_token * 2_200);
    admission.on_first_token(now, 1);
    assert_eq!(admission.poll(now), [Decision::Start(2)], "little prefill is left");
    admission.on_fetching(2);
    (0..3).for_each(|id| admission.on_finished(now, id, Finished::Cancelled));
    assert_eq!(admission.load(now, 1).expected_wait, Duration::ZERO);
}

#[test]
fn an_idle_endpoint_is_confirmed_before_it_is_loaded() {
    let now = Instant::now();
    let ramp = RampConfig { growth_permille: 10_000, min_warm_up: SECOND, ..RampConfig::default() };
    let cfg = AdmissionConfig { ramp, confirm_after_idle: true, ..AdmissionConfig::default() };
    let mut admission = AdmissionControl::new(cfg, now);
    for id in 0..2 {
        let ticket = ticket(id, "a", Interactive, now + 1_000 * SECOND);
        assert_eq!(admission.offer(now, ticket), Ok(()));
        admission.poll(now);
        admission.on_finished(now, id, SERVED);
    }
    let later = now + 10 * SECOND;
    (2..5).for_each(|id| {
        let ticket = ticket(id, "a", Interactive, now + 1_000 * SECOND);
        assert_eq!(admission.offer(later, Ticket { prefill_tokens: 0, ..ticket }), Ok(()));
    });
    assert_eq!(started(&admission.poll(later)), [2], "held to the cold limit");
    admission.on_first_token(later, 2);
    assert!(admission.poll(later).is_empty(), "a first token does not confirm the boot");
    assert!(admission.needs_confirmation(later));
    admission.on_confirmed();
    assert_eq!(started(&admission.poll(later)), [3, 4]);
    assert!(!admission.needs_confirmation(later));
}

#[test]
fn refusals() {
    let now = Instant::now();
    let far = now + 1_000 * SECOND;
    let mut admission = AdmissionControl::new(config(1), now);
    let mut offer = |id, workspace: &str, priority, deadline| {
        admission.offer(now, ticket(id, workspace, priority, deadline))
    };
    assert!(matches!(
        offer(0, "a", Interactive, now + SECOND / 2),
        Err(AdmissionRefusal::TooLate { .. })
    ));
    let large = (1..100).filter(|id| offer(*id, "large", Batch, far).is_ok()).count();
    assert_eq!(large, 4, "half of the 8 places in the queue");
    assert_eq!(offer(100, "small", Interactive, far), Ok(()));
    assert!(matches!(
        offer(101, "small", Batch, now + 2 * SECOND),
        Err(AdmissionRefusal::TooLate { .. })
    ));
    admission.set_leaving(true);
    let refused = admission.offer(now, ticket(102, "a", Interactive, far));
    assert_eq!(refused, Err(AdmissionRefusal::Leaving));
    assert_eq!(serial_order(admission, now).len(), 5, "queued requests still run");
}

/// Reference model: the same scheduling rules, evaluated from scratch over one flat list.
struct Naive {
    cfg: AdmissionConfig,
    waiting: Vec<(Ticket, Instant)>,
    running: Vec<Ticket>,
    starts: BTreeMap<String, u64>,
    clock: u64,
    passes: u32,
    was_urgent: bool,
    last_interactive: Option<Instant>,
}

impl Naive {
    fn offer(&mut self, now: Instant, ticket: Ticket) {
        let name = ticket.workspace.to_string();
        let is_active = self
            .waiting
            .iter()
            .map(|(known, _)| known)
            .chain(&self.running)
            .any(|known| known.workspace == ticket.workspace);
        if !is_active {
            let start = self.starts.get(&name).copied().unwrap_or(0).max(self.clock);
            self.starts.insert(name, start);
        }
        if ticket.priority == Interactive {
            self.last_interactive = Some(now);
        }
        self.waiting.push((ticket, now));
    }

    fn first(&self, key: impl Fn(&Ticket, Instant) -> Option<u64>) -> Option<usize> {
        let is_front = |index: usize| {
            let (ticket, _) = &self.waiting[index];
            !self.waiting[..index].iter().any(|(earlier, _)| {
                earlier.workspace == ticket.workspace && earlier.priority == ticket.priority
            })
        };
        (0..self.waiting.len())
            .filter(|index| is_front(*index))
            .filter_map(|index| {
                let (ticket, arrived) = &self.waiting[index];
                Some((key(ticket, *arrived)?, index))
            })
            .min()
            .map(|(_, index)| index)
    }

    fn start(&mut self, now: Instant, origin: Instant) -> Option<AttemptId> {
        let limit = self.cfg.ramp.warm_limit;
        if self.running.len() as u32 >= limit {
            return None;
        }
        let prefilling: u32 = self.running.iter().map(|ticket| ticket.prefill_tokens).sum();
        if self.cfg.prefill_per_token * prefilling > self.cfg.prefill_ahead {
            return None;
        }
        let is_recent =
            self.last_interactive.is_some_and(|last| now - last < self.cfg.reserve_memory);
        let reserve = if is_recent { limit * self.cfg.reserve_permille / 1_000 } else { 0 };
        let batch_running = self.running.iter().filter(|ticket| ticket.priority == Batch).count();
        let batch_waits = self.waiting.iter().any(|(ticket, _)| ticket.priority == Batch);
        let batch_may_start = batch_waits && (batch_running as u32) < limit - reserve;
        let start_of = |ticket: &Ticket| self.starts[&*ticket.workspace];
        let fairest = |priority| {
            self.first(|ticket, _| (ticket.priority == priority).then(|| start_of(ticket)))
        };
        let urgent = self.first(|ticket, arrived| {
            let is_urgent = now - arrived >= self.cfg.ageing
                || ticket.deadline <= now + self.cfg.urgent_service_times * self.cfg.service_time;
            (ticket.priority == Batch && is_urgent)
                .then(|| (ticket.deadline - origin).as_micros() as u64)
        });
        let interactive = fairest(Interactive);
        let urgent =
            urgent.filter(|_| batch_may_start && (!self.was_urgent || interactive.is_none()));
        let is_urgent = urgent.is_some();
        let interactive =
            interactive.filter(|_| !batch_may_start || self.passes < self.cfg.max_passes);
        let batch = batch_may_start.then(|| fairest(Batch)).flatten();
        let (ticket, _) = self.waiting.remove(urgent.or(interactive).or(batch)?);
        self.was_urgent = is_urgent;
        self.passes = match ticket.priority {
            Batch => 0,
            Interactive => self.passes + u32::from(batch_may_start),
        };
        let start = self.starts.get_mut(&*ticket.workspace)?;
        self.clock = self.clock.max(*start);
        *start += ticket.cost_tokens * 1_024 / u64::from(ticket.weight);
        let id = ticket.id;
        self.running.push(ticket);
        Some(id)
    }

    fn poll(&mut self, now: Instant, origin: Instant) -> Vec<Decision> {
        let (overdue, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(ticket, _)| ticket.deadline <= now);
        self.waiting = waiting;
        let overdue: Vec<(Ticket, Instant)> = overdue;
        let expired = overdue.iter().map(|(ticket, _)| Decision::Expire(ticket.id));
        let mut decisions: Vec<Decision> = expired.collect();
        while let Some(id) = self.start(now, origin) {
            decisions.push(Decision::Start(id));
        }
        decisions
    }

    fn finish(&mut self, id: AttemptId) {
        self.running.retain(|ticket| ticket.id != id);
        if self.running.is_empty() && self.waiting.is_empty() {
            self.starts.clear();
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Offer { workspace: u8, is_batch: bool, cost: u64, seconds: u64 },
    Finish { index: usize },
    Cancel { index: usize },
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..4, any::<bool>(), 1u64..2_000, 3u64..60).prop_map(
            |(workspace, is_batch, cost, seconds)| Step::Offer { workspace, is_batch, cost, seconds }
        ),
        3 => any::<usize>().prop_map(|index| Step::Finish { index }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        2 => (1u64..4_000).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// The decisions equal those of the reference model. The limit is never exceeded, a refused
    /// request never starts, requests of one workspace and priority start in order of arrival, and
    /// every request is eventually started, expired or cancelled.
    #[test]
    fn decides_as_the_naive_model(steps in steps(), limit in 1u32..9) {
        let origin = Instant::now();
        let mut now = origin;
        let cfg = config(limit);
        let mut admission = AdmissionControl::new(cfg.clone(), now);
        let mut naive = Naive {
            cfg,
            waiting: Vec::new(),
            running: Vec::new(),
            starts: BTreeMap::new(),
            clock: 0,
            passes: 0,
            was_urgent: false,
            last_interactive: None,
        };
        let mut refused = BTreeSet::new();
        let mut lines: BTreeMap<AttemptId, (u8, bool)> = BTreeMap::new();
        let mut last_started: BTreeMap<(u8, bool), AttemptId> = BTreeMap::new();
        let drain = (0..200).flat_map(|_| [Step::Finish { index: 0 }, Step::Wait { ms: 1 }]);
        for (id, step) in (0u128..).zip(steps.into_iter().chain(drain)) {
            match step {
                Step::Offer { workspace, is_batch, cost, seconds } => {
                    let ticket = Ticket {
                        weight: u32::from(workspace) + 1,
                        cost_tokens: cost,
                        prefill_tokens: cost as u32 / 20,
                        ..ticket(
                            id,
                            &workspace.to_string(),
                            if is_batch { Batch } else { Interactive },
                            now + Duration::from_secs(seconds),
                        )
                    };
                    lines.insert(id, (workspace, is_batch));
                    match admission.offer(now, ticket.clone()) {
                        Ok(()) => naive.offer(now, ticket),
                        Err(_) => drop(refused.insert(id)),
                    }
                }
                Step::Finish { index } if !naive.running.is_empty() => {
                    let id = naive.running[index % naive.running.len()].id;
                    naive.finish(id);
                    admission.on_finished(now, id, Finished::Cancelled);
                }
                Step::Cancel { index } if !naive.waiting.is_empty() => {
                    let index = index % naive.waiting.len();
                    let (ticket, _) = naive.waiting.remove(index);
                    prop_assert!(admission.cancel_waiting(ticket.id));
                    naive.finish(ticket.id);
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
                Step::Finish { .. } | Step::Cancel { .. } => {}
            }
            let decisions = admission.poll(now);
            prop_assert_eq!(&decisions, &naive.poll(now, origin));
            prop_assert!(naive.running.len() as u32 <= limit);
            prop_assert_eq!(admission.load(now, 0).running as usize, naive.running.len());
            for id in started(&decisions) {
                prop_assert!(!refused.contains(&id));
                let earlier = last_started.insert(lines[&id], id);
                prop_assert!(earlier.is_none_or(|earlier| earlier < id));
            }
        }
        prop_assert!(admission.is_idle());
        prop_assert!(naive.waiting.is_empty() && naive.running.is_empty());
    }
}
