//! The scenarios. Each returns whether its rule was broken; `None` if it could not run.

use crate::{
    daemon::Daemon,
    manifest::{Tenant, manifest},
    record::Record,
    replica::{MODEL, Replica, Run, Settings},
    requester::{Load, Outcome, send, send_until},
    store::{Fate, Store},
};
use std::{path::Path, sync::Mutex, time::Duration};

const PLAIN: [Tenant; 1] = [Tenant { name: "tenant-a", key: "key-a", is_dedicated: false }];
/// Requests a second that a cold replica takes, as on the users' sheets.
const COLD_PER_S: f64 = 9.6;
/// `cold_over` and `cold_slack` of the settings.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `config_apply_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

pub struct Context<'a> {
    pub record: &'a Record,
    /// Folder for settings and logs of the daemons.
    pub dir: &'a Path,
    /// Whether the disruption comes.
    pub has_trouble: bool,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start_daemons(context: &Context<'_>, store: &Store, count: u8) -> Option<Vec<Daemon>> {
    let daemons: Vec<Daemon> =
        (0..count).map(|number| Daemon::start(number, store, context.dir)).collect();
    let until = context.record.now() + ms(8_000);
    let are_ready = daemons.iter().all(|daemon| daemon.wait_until_ready(context.record, until));
    are_ready.then_some(daemons)
}

fn desk(id: &'static str, work_ms: u64, record: &Record) -> Replica {
    let settings = Settings { id, service: "desk", work: ms(work_ms), has_model: false };
    Replica::start(settings, record)
}

/// Orders, which may run once at most.
fn order() -> Load {
    Load { name: "order", method: "POST", path: "/order/1", key: "key-a", prompt: Vec::new() }
}

/// Number of requests that a replica was at work on when it ended.
fn count_cut(replica: &Replica) -> usize {
    replica.runs().iter().filter(|run| run.was_cut).count()
}

fn count_status(outcomes: &[Outcome], status: Option<u16>) -> usize {
    outcomes.iter().filter(|outcome| outcome.status == status).count()
}

/// Most requests in one second that the rule allows to a cold replica.
fn cold_bound() -> f64 {
    COLD_PER_S * COLD_OVER + COLD_SLACK
}

/// Most requests that reached a replica in any one second between two times.
fn most_in_a_second(replica: &Replica, from: Duration, until: Duration) -> usize {
    let times = replica.runs().into_iter().map(|run| run.at);
    let times: Vec<Duration> = times.filter(|at| *at >= from && *at < until).collect();
    let in_second =
        |from: Duration| times.iter().filter(move |at| **at >= from && **at < from + ms(1_000));
    times.iter().map(|from| in_second(*from).count()).max().unwrap_or_default()
}

/// DRAIN: a replica that never says that it drains leaves while the store cuts the waiting watches.
pub fn cut_watch(context: &Context<'_>) -> Option<bool> {
    /// Time beyond `drain_ms` for which the replica still serves.
    const LINGER: Duration = Duration::from_millis(150);
    let record = context.record;
    let store = Store::start(record);
    store.put("op/config", &manifest(1, &PLAIN, 0.0));
    let replicas = ["desk-0", "desk-1", "desk-2"].map(|id| desk(id, 60, record));
    replicas.iter().for_each(|replica| replica.list(&store));
    let daemons = start_daemons(context, &store, 2)?;
    let load = order();
    let started = record.now();
    let requests = send_until(record, &daemons, load, 120, started + ms(11_000));
    record.wait_until(started + ms(6_000));
    let [_, _, leaving] = &replicas;
    leaving.end_heartbeats();
    let removed_at = record.now();
    record.add("store: removes servers/desk-2, which leaves without having drained");
    store.remove("servers/desk-2", context.has_trouble);
    record.wait_until(removed_at + DRAIN + LINGER);
    record.add("desk-2: ends");
    leaving.end();
    let outcomes = requests.join().ok()?;
    let bound = removed_at + DRAIN;
    let late: Vec<Run> = leaving.runs().into_iter().filter(|run| run.at > bound).collect();
    for Run { at, id, was_cut } in &late {
        let outcome = outcomes.iter().find(|outcome| outcome.id == *id);
        let status = outcome.and_then(|outcome| outcome.status);
        record.add(format!(
            "broken: {id}, sent {} ms after the removal, reached desk-2 {} ms after it{}; its requester got {status:?}",
            outcome.map_or(0, |o| o.sent_at.saturating_sub(removed_at).as_millis()),
            (*at - removed_at).as_millis(),
            if *was_cut { " and was cut off by its end" } else { "" },
        ));
    }
    let (served, unknown) =
        (count_status(&outcomes, Some(200)), count_status(&outcomes, Some(502)));
    println!(
        "{} requests, {served} answered 200, {unknown} answered 502; {} reached the replica later than drain_ms, {} of them were cut off",
        outcomes.len(),
        late.len(),
        late.iter().filter(|run| run.was_cut).count()
    );
    (served > outcomes.len() / 2).then_some(!late.is_empty())
}

/// FAILBACK: the store loses the answers to the daemons' registrations and carries them out late.
pub fn late_registration(context: &Context<'_>) -> Option<bool> {
    /// Time after which a write whose answer was lost is carried out.
    const LATE: Duration = Duration::from_millis(3_000);
    let record = context.record;
    let store = Store::start(record);
    store.put("op/config", &manifest(1, &PLAIN, COLD_PER_S));
    if context.has_trouble {
        let known = Mutex::new(Vec::new());
        store.judge_writes(move |keys| {
            let mut known = known.lock().unwrap();
            let is_first = !known.iter().any(|other| other == keys);
            known.push(keys.to_owned());
            match is_first && keys.starts_with("cassiagw/daemons/") {
                true => Fate::Late(LATE),
                false => Fate::Answered,
            }
        });
    }
    let warm = desk("desk-0", 60, record);
    warm.list(&store);
    let daemons = start_daemons(context, &store, 4)?;
    let load = order();
    // The store has been sound for long when the second replica starts.
    record.wait_until(ms(24_000));
    record.add(format!("store: daemons registered: {}", store.keys("cassiagw/daemons/").len()));
    println!(
        "daemons registered: {}; writing calls so far: {}",
        store.keys("cassiagw/daemons/").len(),
        store.write_calls()
    );
    let requests = send_until(record, &daemons, load, 240, ms(34_000));
    record.wait_until(ms(27_000));
    let cold = desk("desk-1", 60, record);
    cold.set_cold(ms(3_000));
    let (cold_from, cold_until) = (record.now(), record.now() + ms(3_000));
    record.add("desk-1: starts and is cold");
    cold.list(&store);
    let outcomes = requests.join().ok()?;
    let most = most_in_a_second(&cold, cold_from, cold_until);
    record.add(format!("desk-1: got at most {most} requests in a second while cold"));
    println!(
        "{} orders, {} answered 200; the cold replica got at most {most} in one second, the bound is {}; {} were cut off by its crash",
        outcomes.len(),
        count_status(&outcomes, Some(200)),
        cold_bound(),
        count_cut(&cold)
    );
    (most > 0).then_some(most as f64 > cold_bound())
}

/// WALL: a tenant becomes dedicated after its requests have left parts in a replica's memory.
pub fn dedicated_later(context: &Context<'_>) -> Option<bool> {
    let record = context.record;
    let store = Store::start(record);
    let tenants = |is_dedicated| {
        [
            Tenant { name: "tenant-a", key: "key-a", is_dedicated },
            Tenant { name: "tenant-b", key: "key-b", is_dedicated: false },
        ]
    };
    store.put("op/config", &manifest(1, &tenants(false), 0.0));
    let settings = Settings { id: "model-0", service: "models", work: ms(20), has_model: true };
    let replica = Replica::start(settings, record);
    replica.list(&store);
    let daemons = start_daemons(context, &store, 1)?;
    let prompt = |own: &str| {
        vec![
            ("X-Model", MODEL.to_owned()),
            ("X-Token-Counts", "1000,8".to_owned()),
            ("X-Prefix-Hash", format!("a1:600,{own}:400")),
        ]
    };
    let load = |key, own| Load {
        name: "advice",
        method: "POST",
        path: "/advice/1",
        key,
        prompt: prompt(own),
    };
    let front = daemons.first()?.front;
    let of_a = send(record, front, &load("key-a", "b1"), "advice-of-a");
    if context.has_trouble {
        record.add("operator: tenant-a is dedicated from version 2 on");
        store.put("op/config", &manifest(2, &tenants(true), 0.0));
    }
    let acked_at = record.now();
    record.wait_until(acked_at + CONFIG_APPLY + ms(3_000));
    let again = send(record, front, &load("key-a", "b2"), "advice-of-a-later");
    let of_b = send(record, front, &load("key-b", "b3"), "advice-of-b");
    let are_served = [&of_a, &again, &of_b].iter().all(|outcome| outcome.status == Some(200));
    let foreign = replica.foreign_parts();
    for part in &foreign {
        record.add(format!(
            "model-0: {} of {} used part {}, which a request of {} made, {} ms after the change",
            part.id,
            part.user,
            part.part,
            part.maker,
            part.at.saturating_sub(acked_at).as_millis()
        ));
    }
    // Without the change no tenant is dedicated, and parts may be shared.
    let is_broken =
        context.has_trouble && foreign.iter().any(|part| part.at > acked_at + CONFIG_APPLY);
    println!(
        "answered: {are_served}; parts used that another tenant's request made: {}; a tenant is dedicated: {}",
        foreign.len(),
        context.has_trouble
    );
    are_served.then_some(is_broken)
}

/// RECOVER: all replicas of a service crash at once and come back; then all daemons are killed.
pub fn crash_then_kill(context: &Context<'_>) -> Option<bool> {
    /// Time for which the replicas are down.
    const REPLICAS_DOWN: Duration = Duration::from_millis(2_000);
    /// Time for which the daemons are down.
    const DAEMONS_DOWN: Duration = Duration::from_millis(1_000);
    /// `recover_s` of the settings.
    const RECOVER: Duration = Duration::from_millis(12_000);
    let record = context.record;
    let store = Store::start(record);
    store.put("op/config", &manifest(1, &PLAIN, 0.0));
    let old = ["desk-0", "desk-1", "desk-2"];
    let replicas = old.map(|id| desk(id, 60, record));
    replicas.iter().for_each(|replica| replica.list(&store));
    let mut daemons = start_daemons(context, &store, 2)?;
    let started = record.now();
    let query = |name, path| Load { name, method: "GET", path, key: "key-a", prompt: Vec::new() };
    let until = started + ms(34_000);
    let same = send_until(record, &daemons, query("same", "/status/1"), 160, until);
    let other = send_until(record, &daemons, query("other", "/status/{id}"), 20, until);
    record.wait_until(started + ms(5_000));
    let mut new = Vec::new();
    if context.has_trouble {
        record.add("the replicas of the zone crash");
        replicas.iter().for_each(Replica::end);
        record.wait_until(started + ms(5_000) + REPLICAS_DOWN);
        old.iter().for_each(|id| store.remove(&format!("servers/{id}"), false));
        new.extend(["desk-3", "desk-4", "desk-5"].map(|id| desk(id, 60, record)));
        new.iter().for_each(|replica| replica.list(&store));
        record.add("the replicas are back, as new boots");
    }
    record.wait_until(started + ms(10_000));
    let killed_at = record.now();
    let mut back_at = killed_at;
    if context.has_trouble {
        record.add(format!(
            "final fault: all daemons are killed; kept in the store: {}",
            store.keys("cassiagw/").join(" ")
        ));
        daemons.iter_mut().for_each(Daemon::kill);
        record.wait_until(killed_at + DAEMONS_DOWN);
        daemons.iter_mut().for_each(Daemon::start_again);
        back_at = record.now();
        record.add("all daemons are started again");
    }
    let (same, other) = (same.join().ok()?, other.join().ok()?);
    let served = |outcomes: &[Outcome], from: Duration, until: Duration| {
        let sent = outcomes.iter().filter(|o| o.sent_at >= from && o.sent_at < until);
        let (sent, served): (Vec<_>, Vec<_>) =
            (sent.clone().collect(), sent.filter(|o| o.status == Some(200)).collect());
        (served.len(), sent.len())
    };
    let all: Vec<Outcome> = same.iter().chain(&other).cloned().collect();
    let before = served(&all, started, killed_at);
    let after = served(&all, back_at + RECOVER, until);
    let text = |(served, sent): (usize, usize)| format!("{served} of {sent}");
    let summary = format!(
        "served before the final fault: {}; later than recover_s after the daemons are back: {} (the same query {}, others {})",
        text(before),
        text(after),
        text(served(&same, back_at + RECOVER, until)),
        text(served(&other, back_at + RECOVER, until))
    );
    println!("{summary}");
    record.add(summary);
    let is_quarter = |(served, sent): (usize, usize)| 4 * served >= sent && sent > 0;
    is_quarter(before).then_some(!is_quarter(after))
}
