use crate::setup::{Budget, Flaw, answer, fingerprint, key};
use cassiagw_core::{
    claims::{
        Action, Answer, Attempt, AttemptLimits, AttemptLog, AttemptState, CallFlow, CallReply,
        ClaimRecord, ClaimShard, Ended, OpenResult, Opening, ResolveResult, Resolved, Standing,
        SubmitError,
    },
    ids::{AttemptId, BootId},
};

const ENTRIES: usize = 2;

/// Global state of the model: the processes and all messages in flight between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    budget: Budget,
    flaw: Option<Flaw>,
    /// Committed records, visible to all entries.
    ledger: Vec<ClaimRecord>,
    /// Records whose sender no longer waits for them and that may still be committed.
    late_appends: Vec<ClaimRecord>,
    /// Dispatches whose sender no longer waits for them and that may still arrive.
    late_opens: Vec<Attempt>,
    entries: [Option<Call>; ENTRIES],
    next_attempt: [AttemptId; ENTRIES],
    endpoint: AttemptLog<Ended>,
    /// Attempts in flight to the service, with the boot that sent them.
    at_service: Vec<(BootId, AttemptId)>,
    /// Attempts that the service executed.
    runs: Vec<AttemptId>,
    answers: Vec<Answer>,
    /// Attempts of calls that were reported as not run.
    denied: Vec<AttemptId>,
    broken: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    flow: CallFlow,
    action: Action,
    attempts: Vec<AttemptId>,
}

type Next = Vec<(String, World)>;

impl World {
    pub fn new(budget: Budget, flaw: Option<Flaw>) -> Self {
        Self {
            budget,
            flaw,
            ledger: Vec::new(),
            late_appends: Vec::new(),
            late_opens: Vec::new(),
            entries: [None, None],
            next_attempt: [100, 200],
            endpoint: AttemptLog::new(1, AttemptLimits::default()),
            at_service: Vec::new(),
            runs: Vec::new(),
            answers: Vec::new(),
            denied: Vec::new(),
            broken: None,
        }
    }

    pub fn broken(&self) -> Option<&'static str> {
        self.broken
    }

    pub fn has_answered(&self) -> bool {
        !self.answers.is_empty()
    }

    /// All states reachable in one step, labelled with the step.
    pub fn next(&self) -> Next {
        let mut next = Vec::new();
        for entry in 0..ENTRIES {
            match &self.entries[entry] {
                Some(call) => self.step_call(entry, call, &mut next),
                None => self.arrive(entry, &mut next),
            }
        }
        self.step_wire(&mut next);
        self.step_service(&mut next);
        self.restart(&mut next);
        next
    }

    fn arrive(&self, entry: usize, next: &mut Next) {
        // Entries are symmetric, so without loss of generality the first request uses entry 0.
        let is_first = self.next_attempt == [100, 200] && self.entries[0].is_none();
        if self.budget.arrivals == 0 || is_first && entry > 0 {
            return;
        }
        let mut world = self.clone();
        world.budget.arrivals -= 1;
        let flow =
            CallFlow::new(key(), fingerprint(), u64::MAX).with_retargets(self.budget.retargets);
        world.entries[entry] = Some(Call { flow, action: Action::Choose, attempts: vec![] });
        next.push((format!("entry {entry}: request"), world));
    }

    fn step_call(&self, entry: usize, call: &Call, next: &mut Next) {
        match &call.action {
            Action::Choose => self.choose(entry, next),
            Action::Submit(record) => self.submit(entry, record, next),
            Action::Look => self.look(entry, next),
            Action::Wait => self.go(entry, next, "wait ended", |_, call| call.flow.on_waited()),
            Action::Dispatch(attempt) => self.dispatch(entry, attempt, next),
            Action::Follow(attempt) => self.follow(entry, attempt, next),
            Action::Resolve(attempt) => self.resolve(entry, attempt, next),
            Action::Reply(..) => unreachable!("a reply ends the call"),
        }
        self.crash(entry, call, next);
    }

    /// Adds the state after `entry` handles one event.
    fn go(
        &self,
        entry: usize,
        next: &mut Next,
        label: &str,
        event: impl FnOnce(&mut World, &mut Call) -> Action,
    ) {
        let mut world = self.clone();
        let mut call = world.entries[entry].take().expect("the entry has a call");
        match event(&mut world, &mut call) {
            // A reply is checked against the state at the moment of the decision.
            Action::Reply(reply, record) => world.reply(&call, &reply, record),
            action => world.entries[entry] = Some(Call { action, ..call }),
        }
        world.late_appends.sort_unstable();
        next.push((format!("entry {entry}: {label}"), world));
    }

    /// Like `go`, but consumes one fault of the budget.
    fn fail(
        &self,
        entry: usize,
        next: &mut Next,
        label: &str,
        event: impl FnOnce(&mut World, &mut Call) -> Action,
    ) {
        if self.budget.faults == 0 {
            return;
        }
        let mut world = self.clone();
        world.budget.faults -= 1;
        world.go(entry, next, label, event);
    }

    fn choose(&self, entry: usize, next: &mut Next) {
        self.go(entry, next, "endpoint chosen", |world, call| {
            let boot = world.endpoint.boot();
            let claimant = format!("entry-{entry}").into();
            let attempt =
                Attempt { id: world.next_attempt[entry], endpoint: "e".into(), boot, claimant };
            world.next_attempt[entry] += 1;
            call.attempts.push(attempt.id);
            call.flow.on_target(Some(attempt))
        });
        self.fail(entry, next, "no endpoint", |_, call| call.flow.on_target(None));
    }

    fn submit(&self, entry: usize, record: &ClaimRecord, next: &mut Next) {
        let unknown = |call: &mut Call, error: SubmitError| match (self.flaw, record) {
            (Some(Flaw::LostAppendTaken), ClaimRecord::Claim { attempt, .. }) => {
                call.flow.on_standing(Ok(Standing::Pending(attempt.clone())))
            }
            _ => call.flow.on_standing(Err(error)),
        };
        if let (Some(Flaw::DispatchBeforeClaim), ClaimRecord::Claim { attempt, .. }) =
            (self.flaw, record)
        {
            return self.go(entry, next, "dispatched before its claim", |world, call| {
                world.late_appends.push(record.clone());
                call.flow.on_standing(Ok(Standing::Pending(attempt.clone())))
            });
        }
        self.go(entry, next, "append committed", |world, call| {
            world.append(record.clone());
            call.flow.on_standing(Ok(world.standing()))
        });
        for error in self.errors() {
            self.fail(entry, next, "append committed, response lost", |world, call| {
                world.append(record.clone());
                unknown(call, error)
            });
            self.fail(entry, next, "append delayed or lost", |world, call| {
                world.late_appends.push(record.clone());
                unknown(call, error)
            });
        }
    }

    fn look(&self, entry: usize, next: &mut Next) {
        self.go(entry, next, "key read", |world, call| call.flow.on_standing(Ok(world.standing())));
        for error in self.errors() {
            self.fail(entry, next, "key read failed", |_, call| call.flow.on_standing(Err(error)));
        }
    }

    fn dispatch(&self, entry: usize, attempt: &Attempt, next: &mut Next) {
        let opened = |call: &mut Call, result| call.flow.on_opened(attempt.clone(), result);
        self.go(entry, next, "dispatched", |world, call| {
            let result = world.open(attempt);
            opened(call, result)
        });
        self.fail(entry, next, "connection refused", |_, call| opened(call, OpenResult::Refused));
        self.fail(entry, next, "dispatched, reply lost", |world, call| {
            world.open(attempt);
            opened(call, OpenResult::Lost)
        });
        self.fail(entry, next, "dispatch delayed or lost", |world, call| {
            world.late_opens.push(attempt.clone());
            opened(call, OpenResult::Lost)
        });
    }

    fn follow(&self, entry: usize, attempt: &Attempt, next: &mut Next) {
        let lost = |_: &mut World, call: &mut Call| call.flow.on_lost(attempt.clone());
        if self.endpoint.boot() != attempt.boot {
            return self.go(entry, next, "stream closed by restart", lost);
        }
        self.fail(entry, next, "stream lost", lost);
        if let Some(AttemptState::Ended(ended)) = self.endpoint.get(attempt.id) {
            let ended = ended.clone();
            self.go(entry, next, "result received", |_, call| call.flow.on_ended(attempt, ended));
        }
    }

    fn resolve(&self, entry: usize, attempt: &Attempt, next: &mut Next) {
        self.go(entry, next, "resolved", |world, call| {
            let (boot, resolved) = world.told(attempt);
            call.flow.on_resolved(attempt.clone(), ResolveResult::Told(boot, resolved))
        });
        self.fail(entry, next, "resolved, reply lost", |world, call| {
            world.told(attempt);
            call.flow.on_resolved(attempt.clone(), ResolveResult::Unreachable)
        });
    }

    fn crash(&self, entry: usize, call: &Call, next: &mut Next) {
        if self.budget.crashes == 0 {
            return;
        }
        let mut world = self.clone();
        world.budget.crashes -= 1;
        world.entries[entry] = None;
        match &call.action {
            Action::Submit(record) => world.late_appends.push(record.clone()),
            Action::Dispatch(attempt) => world.late_opens.push(attempt.clone()),
            _ => {}
        }
        next.push((format!("entry {entry}: killed"), world));
    }

    fn step_wire(&self, next: &mut Next) {
        for at in 0..self.late_appends.len() {
            let mut world = self.clone();
            let record = world.late_appends.remove(at);
            world.append(record);
            next.push(("delayed append committed".into(), world));
        }
        for at in 0..self.late_opens.len() {
            let mut world = self.clone();
            let attempt = world.late_opens.remove(at);
            world.open(&attempt);
            next.push(("delayed dispatch arrived".into(), world));
        }
    }

    fn step_service(&self, next: &mut Next) {
        for at in 0..self.at_service.len() {
            let mut world = self.clone();
            let (boot, id) = world.at_service.remove(at);
            world.run(id);
            world.end(boot, id, Ended::Answered(answer(id)));
            next.push(("service executed the request".into(), world));
            if self.budget.faults == 0 {
                continue;
            }
            let mut world = self.clone();
            world.budget.faults -= 1;
            world.at_service.remove(at);
            world.end(boot, id, Ended::NotRun);
            next.push(("service refused the connection".into(), world));
            let mut world = self.clone();
            world.budget.faults -= 1;
            world.end(boot, id, Ended::Unknown);
            next.push(("service connection lost".into(), world));
        }
    }

    fn restart(&self, next: &mut Next) {
        if self.budget.restarts == 0 {
            return;
        }
        let mut world = self.clone();
        world.budget.restarts -= 1;
        world.endpoint = AttemptLog::new(self.endpoint.boot() + 1, AttemptLimits::default());
        next.push(("endpoint daemon restarted".into(), world));
    }

    fn append(&mut self, record: ClaimRecord) {
        let record = match (self.flaw, record) {
            (Some(Flaw::BlindRelease), ClaimRecord::Release { key, .. }) => {
                let Standing::Pending(current) = self.standing() else { return };
                ClaimRecord::Release { key, from: current.id }
            }
            (_, record) => record,
        };
        self.ledger.push(record);
    }

    fn standing(&self) -> Standing {
        let mut shard = ClaimShard::default();
        self.ledger.iter().cloned().for_each(|record| shard.apply(record));
        shard.standing(&key(), fingerprint())
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
        let boot = (self.flaw != Some(Flaw::AnyBoot)).then_some(attempt.boot);
        match self.endpoint.open(attempt.id, boot) {
            Opening::Run => {
                self.at_service.push((self.endpoint.boot(), attempt.id));
                OpenResult::Accepted
            }
            Opening::AlreadyTaken | Opening::Forgotten => OpenResult::Accepted,
            Opening::Sealed | Opening::WrongBoot => OpenResult::Refused,
        }
    }

    fn told(&mut self, attempt: &Attempt) -> (BootId, Resolved<Ended>) {
        let believed = self.flaw == Some(Flaw::OtherBootBelieved);
        let boot = if believed { attempt.boot } else { self.endpoint.boot() };
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
            self.broken = Some("a key ran twice");
        }
        if self.denied.contains(&id) {
            self.broken = Some("an attempt ran after its caller was told \"not run\"");
        }
    }

    fn reply(&mut self, call: &Call, reply: &CallReply, record: Option<ClaimRecord>) {
        // The record is appended in the background, after the caller has the reply.
        self.late_appends.extend(record);
        self.judge(call, reply);
    }

    fn judge(&mut self, call: &Call, reply: &CallReply) {
        match reply {
            CallReply::Answer { answer, .. } => {
                self.answers.push(answer.clone());
                self.answers.dedup();
                if self.answers.len() > 1 {
                    self.broken = Some("two different answers for one key");
                }
            }
            CallReply::Stop { not_run: Some(true), .. } => {
                self.denied.extend(&call.attempts);
                if !self.runs.is_empty() {
                    self.broken = Some("a key that ran was reported as not run");
                }
            }
            CallReply::Stop { not_run: Some(false), .. } if self.runs.is_empty() => {
                self.broken = Some("a key that did not run was reported as run");
            }
            CallReply::Stop { .. } => {}
        }
    }
}
