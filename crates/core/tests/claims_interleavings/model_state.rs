use crate::setup::{Budget, Flaw, answer, fingerprint, key};
use cassiagw_core::{
    claims::{
        Action, Answer, Attempt, AttemptLimits, AttemptLog, AttemptState, CallFlow, CallReply,
        ClaimRecord, ClaimShard, Ended, KeyStatus, OpenDecision, OpenResult, ResolveResult,
        Resolved, SubmitError,
    },
    ids::{AttemptId, BootId},
};

/// Number of entry daemons.
const ENTRIES: usize = 2;

/// Global state of the model: the processes and all messages in flight between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    budget: Budget,
    flaw: Option<Flaw>,
    /// Committed records, visible to all entries.
    ledger: Vec<ClaimRecord>,
    /// Records whose sender no longer waits for them and that may still be committed.
    late_appends: Vec<ClaimRecord>,
    /// Dispatches whose sender no longer waits for them and that may still arrive.
    late_dispatches: Vec<Attempt>,
    /// Call in progress at each entry; `None` for an idle entry.
    entries: [Option<Call>; ENTRIES],
    /// Next attempt ID of each entry, from disjoint ranges that start at 100 and 200.
    next_attempt: [AttemptId; ENTRIES],
    endpoint: AttemptLog<Ended>,
    /// Attempts in flight to the service, with the boot of the endpoint daemon that sent them.
    in_flight_to_service: Vec<(BootId, AttemptId)>,
    /// Attempts that the service executed.
    runs: Vec<AttemptId>,
    /// Distinct answers that callers received.
    answers: Vec<Answer>,
    /// Attempts of calls that were reported as not run.
    reported_not_run: Vec<AttemptId>,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    flow: CallFlow,
    /// Action that the entry carries out next.
    action: Action,
    /// Ids allocated for the call.
    attempts: Vec<AttemptId>,
}

type Successors = Vec<(String, ModelState)>;

impl ModelState {
    pub fn new(budget: Budget, flaw: Option<Flaw>) -> Self {
        Self {
            budget,
            flaw,
            ledger: Vec::new(),
            late_appends: Vec::new(),
            late_dispatches: Vec::new(),
            entries: [None, None],
            next_attempt: [100, 200],
            endpoint: AttemptLog::new(1, AttemptLimits::default()),
            in_flight_to_service: Vec::new(),
            runs: Vec::new(),
            answers: Vec::new(),
            reported_not_run: Vec::new(),
            violation: None,
        }
    }

    pub fn violation(&self) -> Option<&'static str> {
        self.violation
    }

    pub fn has_answered(&self) -> bool {
        !self.answers.is_empty()
    }

    /// All states reachable in one step, labelled with the step.
    pub fn successors(&self) -> Successors {
        let mut successors = Vec::new();
        for entry in 0..ENTRIES {
            match &self.entries[entry] {
                Some(call) => self.step_call(entry, call, &mut successors),
                None => self.arrive(entry, &mut successors),
            }
        }
        self.step_network(&mut successors);
        self.step_service(&mut successors);
        self.restart(&mut successors);
        successors
    }

    fn arrive(&self, entry: usize, successors: &mut Successors) {
        // Entries are symmetric, so without loss of generality the first request uses entry 0.
        let is_first = self.next_attempt == [100, 200] && self.entries[0].is_none();
        if self.budget.arrivals == 0 || is_first && entry > 0 {
            return;
        }
        let mut state = self.clone();
        state.budget.arrivals -= 1;
        let flow =
            CallFlow::new(key(), fingerprint(), u64::MAX).with_retargets(self.budget.retargets);
        state.entries[entry] = Some(Call { flow, action: Action::Choose, attempts: vec![] });
        successors.push((format!("entry {entry}: request"), state));
    }

    fn step_call(&self, entry: usize, call: &Call, successors: &mut Successors) {
        match &call.action {
            Action::Choose => self.choose(entry, successors),
            Action::Submit(record) => self.submit(entry, record, successors),
            Action::ReadKey => self.read_key(entry, successors),
            Action::Wait => {
                self.push_step(entry, successors, "wait ended", |_, call| call.flow.on_waited())
            }
            Action::Dispatch(attempt) => self.dispatch(entry, attempt, successors),
            Action::Follow(attempt) => self.follow(entry, attempt, successors),
            Action::Resolve(attempt) => self.resolve(entry, attempt, successors),
            Action::Reply(..) => unreachable!("a reply ends the call"),
        }
        self.crash(entry, call, successors);
    }

    /// Adds the state after `entry` handles one event.
    fn push_step(
        &self,
        entry: usize,
        successors: &mut Successors,
        label: &str,
        event: impl FnOnce(&mut ModelState, &mut Call) -> Action,
    ) {
        let mut state = self.clone();
        let mut call = state.entries[entry].take().expect("the entry has a call");
        match event(&mut state, &mut call) {
            // A reply is checked against the state at the moment of the decision.
            Action::Reply(reply, record) => state.finish_call(&call, &reply, record),
            action => state.entries[entry] = Some(Call { action, ..call }),
        }
        state.late_appends.sort_unstable();
        successors.push((format!("entry {entry}: {label}"), state));
    }

    /// Like `push_step`, but consumes one fault of the budget.
    fn push_fault(
        &self,
        entry: usize,
        successors: &mut Successors,
        label: &str,
        event: impl FnOnce(&mut ModelState, &mut Call) -> Action,
    ) {
        if self.budget.faults == 0 {
            return;
        }
        let mut state = self.clone();
        state.budget.faults -= 1;
        state.push_step(entry, successors, label, event);
    }

    fn choose(&self, entry: usize, successors: &mut Successors) {
        self.push_step(entry, successors, "endpoint chosen", |state, call| {
            let boot = state.endpoint.boot();
            let claimant = format!("entry-{entry}").into();
            let attempt =
                Attempt { id: state.next_attempt[entry], endpoint: "e".into(), boot, claimant };
            state.next_attempt[entry] += 1;
            call.attempts.push(attempt.id);
            call.flow.on_target(Some(attempt))
        });
        self.push_fault(entry, successors, "no endpoint", |_, call| call.flow.on_target(None));
    }

    fn submit(&self, entry: usize, record: &ClaimRecord, successors: &mut Successors) {
        let unknown = |call: &mut Call, error: SubmitError| match (self.flaw, record) {
            (Some(Flaw::LostAppendAssumedDone), ClaimRecord::Claim { attempt, .. }) => {
                call.flow.on_key_status(Ok(KeyStatus::Pending(attempt.clone())))
            }
            _ => call.flow.on_key_status(Err(error)),
        };
        if let (Some(Flaw::DispatchBeforeClaim), ClaimRecord::Claim { attempt, .. }) =
            (self.flaw, record)
        {
            return self.push_step(
                entry,
                successors,
                "dispatched before its claim",
                |state, call| {
                    state.late_appends.push(record.clone());
                    call.flow.on_key_status(Ok(KeyStatus::Pending(attempt.clone())))
                },
            );
        }
        self.push_step(entry, successors, "append committed", |state, call| {
            state.append(record.clone());
            call.flow.on_key_status(Ok(state.key_status()))
        });
        for error in self.errors() {
            self.push_fault(entry, successors, "append committed, response lost", |state, call| {
                state.append(record.clone());
                unknown(call, error)
            });
            self.push_fault(entry, successors, "append delayed or lost", |state, call| {
                state.late_appends.push(record.clone());
                unknown(call, error)
            });
        }
    }

    fn read_key(&self, entry: usize, successors: &mut Successors) {
        self.push_step(entry, successors, "key read", |state, call| {
            call.flow.on_key_status(Ok(state.key_status()))
        });
        for error in self.errors() {
            self.push_fault(entry, successors, "key read failed", |_, call| {
                call.flow.on_key_status(Err(error))
            });
        }
    }

    fn dispatch(&self, entry: usize, attempt: &Attempt, successors: &mut Successors) {
        let opened = |call: &mut Call, result| call.flow.on_opened(attempt.clone(), result);
        self.push_step(entry, successors, "dispatched", |state, call| {
            let result = state.open(attempt);
            opened(call, result)
        });
        self.push_fault(entry, successors, "connection refused", |_, call| {
            opened(call, OpenResult::Refused)
        });
        self.push_fault(entry, successors, "dispatched, reply lost", |state, call| {
            state.open(attempt);
            opened(call, OpenResult::Lost)
        });
        self.push_fault(entry, successors, "dispatch delayed or lost", |state, call| {
            state.late_dispatches.push(attempt.clone());
            opened(call, OpenResult::Lost)
        });
    }

    fn follow(&self, entry: usize, attempt: &Attempt, successors: &mut Successors) {
        let lost = |_: &mut ModelState, call: &mut Call| call.flow.on_lost(attempt.clone());
        if self.endpoint.boot() != attempt.boot {
            return self.push_step(entry, successors, "stream closed by restart", lost);
        }
        self.push_fault(entry, successors, "stream lost", lost);
        if let Some(AttemptState::Ended(ended)) = self.endpoint.get(attempt.id) {
            let ended = ended.clone();
            self.push_step(entry, successors, "result received", |_, call| {
                call.flow.on_ended(attempt, ended)
            });
        }
    }

    fn resolve(&self, entry: usize, attempt: &Attempt, successors: &mut Successors) {
        self.push_step(entry, successors, "resolved", |state, call| {
            let (boot, resolved) = state.resolve_at_endpoint(attempt);
            call.flow.on_resolved(attempt.clone(), ResolveResult::Reported(boot, resolved))
        });
        self.push_fault(entry, successors, "resolved, reply lost", |state, call| {
            state.resolve_at_endpoint(attempt);
            call.flow.on_resolved(attempt.clone(), ResolveResult::Unreachable)
        });
    }

    /// Adds the state after `entry` crashes; an append or dispatch that it was sending may still
    /// arrive.
    fn crash(&self, entry: usize, call: &Call, successors: &mut Successors) {
        if self.budget.crashes == 0 {
            return;
        }
        let mut state = self.clone();
        state.budget.crashes -= 1;
        state.entries[entry] = None;
        match &call.action {
            Action::Submit(record) => state.late_appends.push(record.clone()),
            Action::Dispatch(attempt) => state.late_dispatches.push(attempt.clone()),
            _ => {}
        }
        successors.push((format!("entry {entry}: killed"), state));
    }

    fn step_network(&self, successors: &mut Successors) {
        for at in 0..self.late_appends.len() {
            let mut state = self.clone();
            let record = state.late_appends.remove(at);
            state.append(record);
            successors.push(("delayed append committed".into(), state));
        }
        for at in 0..self.late_dispatches.len() {
            let mut state = self.clone();
            let attempt = state.late_dispatches.remove(at);
            state.open(&attempt);
            successors.push(("delayed dispatch arrived".into(), state));
        }
    }

    fn step_service(&self, successors: &mut Successors) {
        for at in 0..self.in_flight_to_service.len() {
            let mut state = self.clone();
            let (boot, id) = state.in_flight_to_service.remove(at);
            state.run(id);
            state.end(boot, id, Ended::Answered(answer(id)));
            successors.push(("service executed the request".into(), state));
            if self.budget.faults == 0 {
                continue;
            }
            let mut state = self.clone();
            state.budget.faults -= 1;
            state.in_flight_to_service.remove(at);
            state.end(boot, id, Ended::NotRun);
            successors.push(("service refused the connection".into(), state));
            let mut state = self.clone();
            state.budget.faults -= 1;
            state.end(boot, id, Ended::Unknown);
            successors.push(("service connection lost".into(), state));
        }
    }

    fn restart(&self, successors: &mut Successors) {
        if self.budget.restarts == 0 {
            return;
        }
        let mut state = self.clone();
        state.budget.restarts -= 1;
        state.endpoint = AttemptLog::new(self.endpoint.boot() + 1, AttemptLimits::default());
        successors.push(("endpoint daemon restarted".into(), state));
    }

    fn append(&mut self, record: ClaimRecord) {
        let record = match (self.flaw, record) {
            (Some(Flaw::UnconditionalRelease), ClaimRecord::Release { key, .. }) => {
                let KeyStatus::Pending(current) = self.key_status() else { return };
                ClaimRecord::Release { key, from: current.id }
            }
            (_, record) => record,
        };
        self.ledger.push(record);
    }

    fn key_status(&self) -> KeyStatus {
        let mut shard = ClaimShard::default();
        self.ledger.iter().cloned().for_each(|record| shard.apply(record));
        shard.key_status(&key(), fingerprint())
    }

    /// Errors that an entry may receive while the ledger is unreachable: the shard's owner may be
    /// unreachable too, and reports the key as free only if there is no claim.
    fn errors(&self) -> impl Iterator<Item = SubmitError> + use<> {
        let is_unclaimed = self.ledger.is_empty();
        [false, true]
            .into_iter()
            .filter(move |is_known_free| is_unclaimed || !is_known_free)
            .map(|is_known_free| SubmitError { is_known_free })
    }

    fn open(&mut self, attempt: &Attempt) -> OpenResult {
        let boot = (self.flaw != Some(Flaw::BootUnchecked)).then_some(attempt.boot);
        match self.endpoint.open(attempt.id, boot) {
            OpenDecision::Run => {
                self.in_flight_to_service.push((self.endpoint.boot(), attempt.id));
                OpenResult::Accepted
            }
            OpenDecision::AlreadyAccepted | OpenDecision::Forgotten => OpenResult::Accepted,
            OpenDecision::Sealed | OpenDecision::WrongBoot => OpenResult::Refused,
        }
    }

    fn resolve_at_endpoint(&mut self, attempt: &Attempt) -> (BootId, Resolved<Ended>) {
        let is_trusted = self.flaw == Some(Flaw::OtherBootTrusted);
        let boot = if is_trusted { attempt.boot } else { self.endpoint.boot() };
        let mut unsealed = self.endpoint.clone();
        let resolved = match self.flaw {
            Some(Flaw::NoSeal) => unsealed.resolve(attempt.id),
            _ => self.endpoint.resolve(attempt.id),
        };
        (boot, resolved)
    }

    fn end(&mut self, boot: BootId, id: AttemptId, ended: Ended) {
        if boot == self.endpoint.boot() {
            self.endpoint.end(id, ended, 0);
        }
    }

    fn run(&mut self, id: AttemptId) {
        self.runs.push(id);
        if self.runs.len() > 1 {
            self.violation = Some("a key ran twice");
        }
        if self.reported_not_run.contains(&id) {
            self.violation = Some("an attempt ran after its caller was told \"not run\"");
        }
    }

    fn finish_call(&mut self, call: &Call, reply: &CallReply, record: Option<ClaimRecord>) {
        // The record is appended in the background, after the caller has the reply.
        self.late_appends.extend(record);
        self.check_reply(call, reply);
    }

    fn check_reply(&mut self, call: &Call, reply: &CallReply) {
        match reply {
            CallReply::Answer { answer, .. } => {
                self.answers.push(answer.clone());
                self.answers.dedup();
                if self.answers.len() > 1 {
                    self.violation = Some("two different answers for one key");
                }
            }
            CallReply::Failed { not_run: Some(true), .. } => {
                self.reported_not_run.extend(&call.attempts);
                if !self.runs.is_empty() {
                    self.violation = Some("a key that ran was reported as not run");
                }
            }
            CallReply::Failed { not_run: Some(false), .. } if self.runs.is_empty() => {
                self.violation = Some("a key that did not run was reported as run");
            }
            CallReply::Failed { .. } => {}
        }
    }
}
