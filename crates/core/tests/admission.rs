//! Admission control of one endpoint: warm-up, start order, fairness and refusals, also against a
//! simple reference model.

use cassiagw_core::{
    admission::{
        AdmissionConfig, AdmissionControl, AdmissionRefusal, AdmissionRequest, Decision,
        RampConfig, RequestOutcome,
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
const SERVED: RequestOutcome = RequestOutcome::Served { computed_tokens: 0 };

fn config(limit: u32) -> AdmissionConfig {
    let ramp = RampConfig { cold_limit: limit, warm_limit: limit, ..RampConfig::default() };
    AdmissionConfig { ramp, service_time: SECOND, ..AdmissionConfig::default() }
}

fn request(
    id: AttemptId,
    workspace: &str,
    priority: Priority,
    deadline: Instant,
) -> AdmissionRequest {
    AdmissionRequest {
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
        admission.on_finished(now, *id, RequestOutcome::Cancelled);
    }
    order
}

#[test]
fn order_of_starts() {
    struct Case {
        name: &'static str,
        /// Workspace, priority and deadline in seconds of each request; the IDs count up from 0.
        requests: &'static [(&'static str, Priority, u64)],
        max_interactive_streak: u32,
        order: &'static [AttemptId],
    }
    /// Deadline in seconds that makes no request urgent.
    const FAR: u64 = 1_000;
    #[rustfmt::skip]
    let cases = [
        Case { name: "interactive first", requests: &[("a", Batch, FAR), ("a", Interactive, FAR), ("a", Interactive, FAR)], max_interactive_streak: 8, order: &[1, 2, 0] },
        Case { name: "interactive streak is bounded", requests: &[("a", Batch, FAR), ("a", Interactive, FAR), ("a", Interactive, FAR), ("a", Interactive, FAR)], max_interactive_streak: 2, order: &[1, 2, 0, 3] },
        Case { name: "near deadline first", requests: &[("c", Batch, 2), ("b", Batch, 30), ("a", Interactive, FAR)], max_interactive_streak: 8, order: &[0, 2, 1] },
        Case { name: "urgent batch alternates with interactive", requests: &[("b", Batch, 2), ("c", Batch, 2), ("a", Interactive, FAR)], max_interactive_streak: 8, order: &[0, 2, 1] },
        Case { name: "workspaces take turns", requests: &[("a", Interactive, FAR), ("a", Interactive, FAR), ("a", Interactive, FAR), ("b", Interactive, FAR), ("b", Interactive, FAR)], max_interactive_streak: 8, order: &[0, 3, 1, 4, 2] },
    ];
    for case in cases {
        let now = Instant::now();
        let cfg =
            AdmissionConfig { max_interactive_streak: case.max_interactive_streak, ..config(1) };
        let mut admission = AdmissionControl::new(cfg, now);
        for (id, (workspace, priority, deadline)) in (0..).zip(case.requests) {
            let request = request(id, workspace, *priority, now + *deadline as u32 * SECOND);
            assert_eq!(admission.enqueue(now, request), Ok(()), "{}: {id}", case.name);
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
            let request = request(id, "a", Interactive, now + 1_000 * SECOND);
            assert_eq!(admission.enqueue(now, request), Ok(()));
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
    let admission = run(later, 20..21, 0, RequestOutcome::Failed);
    assert_eq!(admission.limit(later), 2, "after a failure");
    assert_eq!(admission.limit(later + 10 * SECOND), 2, "no growth without completed requests");
    let computed = RequestOutcome::Served { computed_tokens: 1_000 };
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
        let request = AdmissionRequest {
            prefill_tokens: 1_000,
            ..request(id, "a", Interactive, now + 9 * SECOND)
        };
        assert_eq!(admission.enqueue(now, request), Ok(()));
    }
    assert_eq!(admission.poll(now), [Decision::Start(0)], "the first prompt is being computed");
    let per_token = admission.load(now, 1).prefill_per_token;
    assert_eq!(admission.load(now, 1).expected_wait, per_token * 2_000);
    admission.on_first_token(now + SECOND, 0);
    assert_eq!(admission.load(now + SECOND, 1).expected_wait, per_token * 1_000);
    assert_eq!(admission.poll(now + SECOND), [Decision::Start(1)]);
    assert_eq!(admission.load(now + SECOND, 1).expected_wait, per_token * 1_000);
    admission.on_finished(now + SECOND, 1, RequestOutcome::Cancelled);
    assert_eq!(admission.load(now + SECOND, 1).expected_wait, Duration::ZERO);
}

#[test]
fn a_fetch_does_not_hold_back_the_next_request() {
    let now = Instant::now();
    let mut admission = AdmissionControl::new(config(4), now);
    for id in 0..3 {
        let request = AdmissionRequest {
            prefill_tokens: 1_000,
            ..request(id, "a", Interactive, now + 9 * SECOND)
        };
        assert_eq!(admission.enqueue(now, request), Ok(()));
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
    (0..3).for_each(|id| admission.on_finished(now, id, RequestOutcome::Cancelled));
    assert_eq!(admission.load(now, 1).expected_wait, Duration::ZERO);
}

#[test]
fn an_idle_endpoint_is_confirmed_before_it_is_loaded() {
    let now = Instant::now();
    let ramp = RampConfig { growth_permille: 10_000, min_warm_up: SECOND, ..RampConfig::default() };
    let cfg = AdmissionConfig { ramp, confirm_after_idle: true, ..AdmissionConfig::default() };
    let mut admission = AdmissionControl::new(cfg, now);
    for id in 0..2 {
        let request = request(id, "a", Interactive, now + 1_000 * SECOND);
        assert_eq!(admission.enqueue(now, request), Ok(()));
        admission.poll(now);
        admission.on_finished(now, id, SERVED);
    }
    let later = now + 10 * SECOND;
    (2..5).for_each(|id| {
        let request = request(id, "a", Interactive, now + 1_000 * SECOND);
        assert_eq!(
            admission.enqueue(later, AdmissionRequest { prefill_tokens: 0, ..request }),
            Ok(())
        );
    });
    assert_eq!(started(&admission.poll(later)), [2], "held to the cold limit");
    admission.on_first_token(later, 2);
    assert!(admission.poll(later).is_empty(), "a first token may come from a new boot");
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
    let mut enqueue = |id, workspace: &str, priority, deadline| {
        admission.enqueue(now, request(id, workspace, priority, deadline))
    };
    assert!(matches!(
        enqueue(0, "a", Interactive, now + SECOND / 2),
        Err(AdmissionRefusal::TooLate { .. })
    ));
    let large = (1..100).filter(|id| enqueue(*id, "large", Batch, far).is_ok()).count();
    assert_eq!(large, 4, "half of the 8 places in the queue");
    assert_eq!(enqueue(100, "small", Interactive, far), Ok(()));
    assert!(matches!(
        enqueue(101, "small", Batch, now + 2 * SECOND),
        Err(AdmissionRefusal::TooLate { .. })
    ));
    admission.set_leaving(true);
    let refused = admission.enqueue(now, request(102, "a", Interactive, far));
    assert_eq!(refused, Err(AdmissionRefusal::Leaving));
    assert_eq!(serial_order(admission, now).len(), 5, "queued requests still run");
}

/// Reference model: the same scheduling rules, evaluated from scratch over one flat list.
struct ReferenceModel {
    cfg: AdmissionConfig,
    waiting: Vec<(AdmissionRequest, Instant)>,
    running: Vec<AdmissionRequest>,
    virtual_starts: BTreeMap<String, u64>,
    virtual_time: u64,
    interactive_streak: u32,
    was_urgent: bool,
    last_interactive: Option<Instant>,
}

impl ReferenceModel {
    fn enqueue(&mut self, now: Instant, request: AdmissionRequest) {
        let name = request.workspace.to_string();
        let is_active = self
            .waiting
            .iter()
            .map(|(known, _)| known)
            .chain(&self.running)
            .any(|known| known.workspace == request.workspace);
        if !is_active {
            let start = self.virtual_starts.get(&name).copied().unwrap_or(0).max(self.virtual_time);
            self.virtual_starts.insert(name, start);
        }
        if request.priority == Interactive {
            self.last_interactive = Some(now);
        }
        self.waiting.push((request, now));
    }

    fn first(&self, key: impl Fn(&AdmissionRequest, Instant) -> Option<u64>) -> Option<usize> {
        let is_front = |index: usize| {
            let (request, _) = &self.waiting[index];
            !self.waiting[..index].iter().any(|(earlier, _)| {
                earlier.workspace == request.workspace && earlier.priority == request.priority
            })
        };
        (0..self.waiting.len())
            .filter(|index| is_front(*index))
            .filter_map(|index| {
                let (request, arrived) = &self.waiting[index];
                Some((key(request, *arrived)?, index))
            })
            .min()
            .map(|(_, index)| index)
    }

    fn start(&mut self, now: Instant, origin: Instant) -> Option<AttemptId> {
        let limit = self.cfg.ramp.warm_limit;
        if self.running.len() as u32 >= limit {
            return None;
        }
        let prefilling: u32 = self.running.iter().map(|request| request.prefill_tokens).sum();
        if self.cfg.prefill_per_token * prefilling > self.cfg.max_outstanding_prefill {
            return None;
        }
        let is_recent =
            self.last_interactive.is_some_and(|last| now - last < self.cfg.reserve_duration);
        let reserve = if is_recent { limit * self.cfg.reserve_permille / 1_000 } else { 0 };
        let batch_running = self.running.iter().filter(|request| request.priority == Batch).count();
        let batch_waits = self.waiting.iter().any(|(request, _)| request.priority == Batch);
        let batch_may_start = batch_waits && (batch_running as u32) < limit - reserve;
        let start_of = |request: &AdmissionRequest| self.virtual_starts[&*request.workspace];
        let fairest = |priority| {
            self.first(|request, _| (request.priority == priority).then(|| start_of(request)))
        };
        let urgent = self.first(|request, arrived| {
            let is_urgent = now - arrived >= self.cfg.aging_threshold
                || request.deadline <= now + self.cfg.urgent_service_times * self.cfg.service_time;
            (request.priority == Batch && is_urgent)
                .then(|| (request.deadline - origin).as_micros() as u64)
        });
        let interactive = fairest(Interactive);
        let urgent =
            urgent.filter(|_| batch_may_start && (!self.was_urgent || interactive.is_none()));
        let is_urgent = urgent.is_some();
        let interactive = interactive.filter(|_| {
            !batch_may_start || self.interactive_streak < self.cfg.max_interactive_streak
        });
        let batch = batch_may_start.then(|| fairest(Batch)).flatten();
        let (request, _) = self.waiting.remove(urgent.or(interactive).or(batch)?);
        self.was_urgent = is_urgent;
        self.interactive_streak = match request.priority {
            Batch => 0,
            Interactive => self.interactive_streak + u32::from(batch_may_start),
        };
        let start = self.virtual_starts.get_mut(&*request.workspace)?;
        self.virtual_time = self.virtual_time.max(*start);
        *start += request.cost_tokens * 1_024 / u64::from(request.weight);
        let id = request.id;
        self.running.push(request);
        Some(id)
    }

    fn poll(&mut self, now: Instant, origin: Instant) -> Vec<Decision> {
        let (overdue, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(request, _)| request.deadline <= now);
        self.waiting = waiting;
        let overdue: Vec<(AdmissionRequest, Instant)> = overdue;
        let expired = overdue.iter().map(|(request, _)| Decision::Expire(request.id));
        let mut decisions: Vec<Decision> = expired.collect();
        while let Some(id) = self.start(now, origin) {
            decisions.push(Decision::Start(id));
        }
        decisions
    }

    fn finish(&mut self, id: AttemptId) {
        self.running.retain(|request| request.id != id);
        if self.running.is_empty() && self.waiting.is_empty() {
            self.virtual_starts.clear();
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Enqueue { workspace: u8, is_batch: bool, cost: u64, seconds: u64 },
    Finish { index: usize },
    Cancel { index: usize },
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0u8..4, any::<bool>(), 1u64..2_000, 3u64..60).prop_map(
            |(workspace, is_batch, cost, seconds)| Step::Enqueue { workspace, is_batch, cost, seconds }
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
    /// every request is eventually started, expired or canceled.
    #[test]
    fn decides_as_the_naive_model(steps in steps(), limit in 1u32..9) {
        let origin = Instant::now();
        let mut now = origin;
        let cfg = config(limit);
        let mut admission = AdmissionControl::new(cfg.clone(), now);
        let mut reference = ReferenceModel {
            cfg,
            waiting: Vec::new(),
            running: Vec::new(),
            virtual_starts: BTreeMap::new(),
            virtual_time: 0,
            interactive_streak: 0,
            was_urgent: false,
            last_interactive: None,
        };
        let mut refused = BTreeSet::new();
        let mut queue_of: BTreeMap<AttemptId, (u8, bool)> = BTreeMap::new();
        let mut last_started: BTreeMap<(u8, bool), AttemptId> = BTreeMap::new();
        let drain = (0..200).flat_map(|_| [Step::Finish { index: 0 }, Step::Wait { ms: 1 }]);
        for (id, step) in (0u128..).zip(steps.into_iter().chain(drain)) {
            match step {
                Step::Enqueue { workspace, is_batch, cost, seconds } => {
                    let request = AdmissionRequest {
                        weight: u32::from(workspace) + 1,
                        cost_tokens: cost,
                        prefill_tokens: cost as u32 / 20,
                        ..request(
                            id,
                            &workspace.to_string(),
                            if is_batch { Batch } else { Interactive },
                            now + Duration::from_secs(seconds),
                        )
                    };
                    queue_of.insert(id, (workspace, is_batch));
                    match admission.enqueue(now, request.clone()) {
                        Ok(()) => reference.enqueue(now, request),
                        Err(_) => drop(refused.insert(id)),
                    }
                }
                Step::Finish { index } if !reference.running.is_empty() => {
                    let id = reference.running[index % reference.running.len()].id;
                    reference.finish(id);
                    admission.on_finished(now, id, RequestOutcome::Cancelled);
                }
                Step::Cancel { index } if !reference.waiting.is_empty() => {
                    let index = index % reference.waiting.len();
                    let (request, _) = reference.waiting.remove(index);
                    prop_assert!(admission.cancel_waiting(request.id));
                    reference.finish(request.id);
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
                Step::Finish { .. } | Step::Cancel { .. } => {}
            }
            let decisions = admission.poll(now);
            prop_assert_eq!(&decisions, &reference.poll(now, origin));
            prop_assert!(reference.running.len() as u32 <= limit);
            prop_assert_eq!(admission.load(now, 0).running as usize, reference.running.len());
            for id in started(&decisions) {
                prop_assert!(!refused.contains(&id));
                let earlier = last_started.insert(queue_of[&id], id);
                prop_assert!(earlier.is_none_or(|earlier| earlier < id));
            }
        }
        prop_assert!(admission.is_idle());
        prop_assert!(reference.waiting.is_empty() && reference.running.is_empty());
    }
}
