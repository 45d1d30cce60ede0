//! Case 8: open bodies take all connections of a daemon, which still says that it is ready.

use cassiagw_review_2::{
    crowd::{Misuse, crowd},
    deployment::{Deployment, order},
    record::{Record, has_trouble},
};
use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

/// Callers in the crowd, and what each sends.
const OPEN_BODIES: usize = 2_000;
const OPEN_BODY: Misuse = Misuse::OpenBody { bytes: 8_000, chunk: 50 };
/// Ordinary requesters that try at the same time.
const REQUESTERS: usize = 8;
/// Bound of the rule: `contact_ms` of the small deployments.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which the requesters try.
const TIME: Duration = Duration::from_secs(9);
/// Pause between two tries of a requester.
const PAUSE: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let record = Record::new();
    let Some(deployment) = Deployment::start(1, &record) else { return ExitCode::from(2) };
    let daemon = &deployment.daemons[0];
    let status = order(daemon);
    record.line(format!("an ordinary order before: {status:?}"));
    if status != Some(200) {
        return ExitCode::from(2);
    }
    let count = if has_trouble() { OPEN_BODIES } else { 0 };
    let callers = crowd(daemon, OPEN_BODY, count, "open");
    record.line(format!("{} callers with open bodies", callers.len()));
    if callers.len() < count {
        record.line("not all callers could connect");
        return ExitCode::from(2);
    }
    let started = Instant::now();
    let mut since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    while started.elapsed() < TIME {
        let statuses: Vec<Option<u16>> = thread::scope(|scope| {
            let tries: Vec<_> = (0..REQUESTERS).map(|_| scope.spawn(|| order(daemon))).collect();
            tries.into_iter().map(|attempt| attempt.join().ok().flatten()).collect()
        });
        let ready = daemon.readiness();
        record.line(format!("ready {ready}, answers {statuses:?}"));
        let is_shut = ready == 200 && statuses.iter().all(Option::is_none);
        since = if is_shut { since.or(Some(Instant::now())) } else { None };
        longest = longest.max(since.map_or(Duration::ZERO, |since| since.elapsed()));
        thread::sleep(PAUSE);
    }
    let is_broken = longest >= CONTACT;
    record.line(format!(
        "the daemon said that it is ready and took no connection of {REQUESTERS} requesters for {} ms; \
         bound {} ms; broken: {is_broken}",
        longest.as_millis(),
        CONTACT.as_millis()
    ));
    drop(callers);
    ExitCode::from(u8::from(is_broken))
}
