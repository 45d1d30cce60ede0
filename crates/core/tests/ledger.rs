//! Property tests of the ledger under concurrent appends, lost responses, duplicate deliveries and
//! compactions in any order.

mod support;

use cassiagw_core::ledger::{
    Append, AppendId, AppendOutcome, AppendStep, KvCallError, LedgerError, LedgerKeys, Record,
    Snapshot, SnapshotHead, SnapshotPlan, Txn, parse_log_page,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::MemoryKv;

/// One step of the model; the number is the index of the writer.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Starts an append unless one is in progress.
    Start(usize),
    /// Sends the append and receives its reply.
    Deliver(usize),
    LoseRequest(usize),
    LoseResponse(usize),
    /// Applies every transaction that the writer has sent once more.
    DeliverDuplicates(usize),
    GiveUp(usize),
    /// Writes a snapshot at the newest revision and compacts the log up to it.
    Snapshot,
}

#[derive(Default)]
struct Writer {
    /// Last revision that the writer has read.
    base: u64,
    append: Option<Append>,
    /// ID of the newest append.
    id: u128,
    /// Transactions of all sends, to be delivered again.
    sent: Vec<Txn>,
}

#[derive(Default)]
struct LedgerModel {
    kv: MemoryKv,
    next_id: u128,
    outcomes: BTreeMap<u128, AppendOutcome>,
}

fn keys() -> LedgerKeys {
    LedgerKeys::new("/t")
}

fn unknown() -> KvCallError {
    KvCallError::Unknown("lost".into())
}

impl LedgerModel {
    /// Newest revision in the log; 0 if it is empty.
    fn head(&self) -> u64 {
        let log = self.kv.range(&keys().log_from(0)).pairs;
        log.last().and_then(|pair| keys().revision_of(&pair.key)).unwrap_or(0)
    }

    fn step(&mut self, writers: &mut [Writer], step: Step) {
        match step {
            Step::Start(i) if writers[i].append.is_none() => {
                self.next_id += 1;
                let record = Record { id: AppendId(self.next_id), entries: vec![i] };
                let writer = &mut writers[i];
                (writer.id, writer.append) =
                    (self.next_id, Some(Append::new(&keys(), writer.base, &record)));
            }
            Step::Deliver(i) => self.send(&mut writers[i], |kv, txn| Ok(kv.apply(txn))),
            Step::LoseRequest(i) => self.send(&mut writers[i], |_, _| Err(unknown())),
            Step::LoseResponse(i) => self.send(&mut writers[i], |kv, txn| {
                kv.apply(txn);
                Err(unknown())
            }),
            Step::DeliverDuplicates(i) => writers[i].sent.iter().for_each(|txn| {
                self.kv.apply(txn);
            }),
            Step::GiveUp(i) => {
                if let Some(append) = writers[i].append.take() {
                    self.outcomes.insert(writers[i].id, append.give_up());
                    writers[i].base = self.head();
                }
            }
            Step::Snapshot => self.snapshot(),
            Step::Start(_) => {}
        }
    }

    fn send(
        &mut self,
        writer: &mut Writer,
        call: impl Fn(&mut MemoryKv, &Txn) -> Result<cassiagw_core::ledger::TxnReply, KvCallError>,
    ) {
        let Some(append) = &mut writer.append else { return };
        writer.sent.push(append.txn().clone());
        let reply = call(&mut self.kv, append.txn());
        let AppendStep::Done(outcome) = append.on_reply(reply) else { return };
        self.outcomes.insert(writer.id, outcome);
        writer.append = None;
        writer.base = self.head();
    }

    fn snapshot(&mut self) {
        let head_mod_revision =
            self.kv.pairs.get(&keys().snapshot_head()).map(|pair| pair.mod_revision);
        self.next_id += 1;
        let plan = SnapshotPlan::new(
            &keys(),
            AppendId(self.next_id),
            self.head(),
            b"x",
            head_mod_revision,
        );
        plan.parts.iter().chain([&plan.head]).for_each(|txn| {
            self.kv.apply(txn);
        });
        // Harsher than the planned compaction, which retains some records: only the newest remains.
        let before = keys().log_before(self.head());
        self.kv.apply(&Txn {
            success: vec![cassiagw_core::ledger::Op::Delete(before)],
            ..Txn::default()
        });
    }

    fn written_revisions(&self, id: u128) -> Vec<u64> {
        self.kv
            .writes
            .iter()
            .filter_map(|(key, value)| {
                let revision = keys().revision_of(key)?;
                let record = Record::<usize>::decode(revision, value).expect("a record");
                (record.id.0 == id).then_some(revision)
            })
            .collect()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let writer = 0..3usize;
    let step = prop_oneof![
        4 => writer.clone().prop_map(Step::Start),
        4 => writer.clone().prop_map(Step::Deliver),
        1 => writer.clone().prop_map(Step::LoseRequest),
        2 => writer.clone().prop_map(Step::LoseResponse),
        2 => writer.clone().prop_map(Step::DeliverDuplicates),
        1 => writer.prop_map(Step::GiveUp),
        1 => Just(Step::Snapshot),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn append_outcomes_match_the_log(steps in steps()) {
        let mut model = LedgerModel::default();
        let mut writers = [(); 3].map(|()| Writer::default());
        steps.iter().for_each(|step| model.step(&mut writers, *step));
        (0..3).for_each(|i| model.step(&mut writers, Step::DeliverDuplicates(i)));
        for (id, outcome) in &model.outcomes {
            let written = model.written_revisions(*id);
            match outcome {
                AppendOutcome::Accepted(revision) => prop_assert_eq!(&written, &vec![*revision]),
                AppendOutcome::Conflict { .. } | AppendOutcome::NotAccepted => {
                    prop_assert!(written.is_empty(), "{id} {outcome:?} {written:?}");
                }
                AppendOutcome::Unknown => prop_assert!(written.len() <= 1),
            }
        }
        let mut revisions = model.kv.writes.iter()
            .filter_map(|(key, _)| keys().revision_of(key)).collect::<Vec<_>>();
        let count = revisions.len() as u64;
        revisions.sort_unstable();
        prop_assert_eq!(revisions, (1..=count).collect::<Vec<_>>());
    }
}

#[test]
fn a_log_page_rejects_gaps() {
    struct Case {
        log: &'static [u64],
        next: u64,
        expected: Result<Vec<u64>, LedgerError>,
    }
    let compacted = |wanted| Err(LedgerError::Compacted { wanted });
    let cases = [
        Case { log: &[], next: 1, expected: Ok(vec![]) },
        Case { log: &[1, 2, 3], next: 2, expected: Ok(vec![2, 3]) },
        Case { log: &[5, 6], next: 4, expected: compacted(4) },
        Case { log: &[4, 6], next: 4, expected: compacted(5) },
    ];
    for case in cases {
        let mut kv = MemoryKv::default();
        let success = case
            .log
            .iter()
            .map(|revision| cassiagw_core::ledger::Op::put(keys().log(*revision), *b"{}"))
            .collect();
        kv.apply(&Txn { success, ..Txn::default() });
        let page = parse_log_page(&keys(), case.next, kv.range(&keys().log_from(case.next)));
        let revisions = page.map(|page| page.records.iter().map(|r| r.revision).collect());
        assert_eq!(revisions, case.expected, "log {:?} from {}", case.log, case.next);
    }
}

#[test]
fn an_incomplete_snapshot_is_rejected() {
    let content = vec![7u8; 3 * cassiagw_core::ledger::PART_BYTES / 2];
    let plan = SnapshotPlan::new(&keys(), AppendId(1), 9, &content, None);
    let mut kv = MemoryKv::default();
    plan.parts.iter().chain([&plan.head]).for_each(|txn| {
        kv.apply(txn);
    });
    let head = &kv.pairs[&keys().snapshot_head()];
    let head: SnapshotHead = serde_json::from_slice(&head.value).expect("a head");
    let mut parts = kv.range(&keys().snapshot_parts(9, AppendId(1))).pairs;
    assert_eq!(parts.len(), 2);
    let snapshot = Snapshot::from_parts(&head, &parts).expect("all parts are there");
    assert_eq!((snapshot.revision, snapshot.content == content), (9, true));
    parts.pop();
    let truncated = Snapshot::from_parts(&head, &parts);
    assert_eq!(truncated, Err(LedgerError::BadSnapshot { revision: 9 }));
}
