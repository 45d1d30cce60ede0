//! Endpoints that turn requests away and say for how long they want none.

use super::support::{entry, plain_request, plain_service};
use cassiagw_core::forwarding::{
    DaemonRanks, EndpointNotice, EndpointTable, Fault, Pick, RequestedPause, Service,
    pause_retry_after,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// Time after the answer in which requests may still arrive that were on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pause(time: Duration) -> EndpointNotice {
    EndpointNotice { is_leaving: false, pause: Some(time) }
}

fn pick(table: &EndpointTable, now: Instant, service: &Service) -> Pick {
    table.pick(now, &plain_request(service))
}

/// An endpoint that serves again at some moment, and daemons that always have requests for it.
#[derive(Clone, Debug)]
struct Load {
    daemons: usize,
    endpoints: usize,
    /// What the endpoints ask each daemon for, one after the other.
    pauses_ms: Vec<u64>,
    /// Whether an entry lapses and returns in each pause.
    lapses: bool,
}

struct Played {
    /// Requests that arrived in pauses.
    in_pause: usize,
    /// Most daemons that sent their first request after their pauses within 10 ms.
    herd: usize,
    /// Whether all daemons send again in the end.
    all_send: bool,
}

fn play(load: &Load) -> Played {
    let service = plain_service();
    let start = Instant::now();
    let names: Vec<String> = (0..load.daemons).map(|n| format!("daemon-{n}")).collect();
    let mut tables: Vec<EndpointTable> = Vec::new();
    for name in &names {
        let mut table = EndpointTable::new("z0".into());
        let others = names.iter().filter(|other| *other != name).map(String::as_str);
        table.set_daemons(DaemonRanks::new(name, others));
        (0..load.endpoints)
            .for_each(|n| table.insert(start, entry(&format!("d{n}"), &service, "z0")));
        tables.push(table);
    }
    let index = |id: &str| id[1..].parse::<usize>().expect("a number");
    let last = *load.pauses_ms.last().expect("a pause");
    let end = start + ms(load.pauses_ms.iter().sum::<u64>()) + Duration::from_secs(4);
    let mut asked: Vec<Vec<usize>> = vec![vec![0; load.endpoints]; load.daemons];
    let mut asked_at = vec![vec![None::<(Instant, Duration)>; load.endpoints]; load.daemons];
    let mut played = Played { in_pause: 0, herd: 0, all_send: false };
    let mut sends = vec![false; load.daemons];
    let mut now = start;
    while now < end {
        now += STEP;
        let mut returned = 0;
        for (daemon, table) in tables.iter_mut().enumerate() {
            let Pick::Endpoint(picked) = pick(table, now, &service) else { continue };
            let at = index(&picked.entry.id);
            let id = picked.entry.id.clone();
            if let Some((from, time)) = asked_at[daemon][at] {
                let is_in_pause = now > from + ON_THE_WAY && now < from + time;
                played.in_pause += usize::from(is_in_pause);
            }
            table.on_sent(now, &picked, &plain_request(&service));
            table.on_request_done(&id, &picked.work, true);
            match load.pauses_ms.get(asked[daemon][at]) {
                Some(time) => {
                    asked[daemon][at] += 1;
                    asked_at[daemon][at] = Some((now, ms(*time)));
                    table.on_notice(now, &id, pause(ms(*time)));
                    table.on_fault(now, &id, Fault::NotExecuted);
                    if load.lapses {
                        table.remove(&id);
                        table.insert(now, entry(&id, &service, "z0"));
                    }
                }
                None => {
                    table.on_notice(now, &id, EndpointNotice::default());
                    table.on_answer(now, &id, None);
                    returned += usize::from(!sends[daemon]);
                    sends[daemon] = true;
                }
            }
        }
        played.herd = played.herd.max(returned);
        if now >= start + ms(last) && sends.iter().all(|sends| *sends) {
            break;
        }
    }
    played.all_send = sends.iter().all(|sends| *sends);
    played
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn nothing_is_sent_in_a_pause_and_all_send_after_it(
        daemons in 1..12_usize,
        endpoints in 1..5_usize,
        pauses_ms in prop::collection::vec(600..4_000_u64, 1..4),
        lapses in any::<bool>(),
    ) {
        let load = Load { daemons, endpoints, pauses_ms, lapses };
        let played = play(&load);
        prop_assert_eq!(played.in_pause, 0);
        prop_assert!(played.all_send, "all send again");
    }
}

/// Daemons that were asked at the same moment do not return at the same moment.
#[test]
fn many_daemons_return_one_after_the_other() {
    let load = Load { daemons: 40, endpoints: 1, pauses_ms: vec![2_000], lapses: false };
    let played = play(&load);
    assert!(played.herd <= 4, "{} of 40 within 10 ms", played.herd);
    assert!(played.all_send);
}

/// What an endpoint asks for, and the time for which it gets nothing.
struct BoundCase {
    asks_ms: &'static [u64],
    holds_ms: u64,
}

#[test]
fn pauses_are_bounded_and_never_shortened() {
    let cases = [
        BoundCase { asks_ms: &[1_000], holds_ms: 1_000 },
        BoundCase { asks_ms: &[2_000, 500], holds_ms: 2_000 },
        BoundCase { asks_ms: &[500, 2_000], holds_ms: 2_000 },
        BoundCase { asks_ms: &[u64::MAX], holds_ms: 600_000 },
    ];
    let service = plain_service();
    let now = Instant::now();
    for BoundCase { asks_ms, holds_ms } in cases {
        let mut table = EndpointTable::new("z0".into());
        table.insert(now, entry("d0", &service, "z0"));
        for asked in asks_ms {
            table.on_notice(now, "d0", pause(ms(*asked)));
        }
        let before = now + ms(holds_ms) - ms(1);
        let Pick::Paused(left) = pick(&table, before, &service) else { panic!("{asks_ms:?}") };
        assert_eq!(left, ms(1), "{asks_ms:?}");
        assert!(matches!(pick(&table, now + ms(holds_ms), &service), Pick::Endpoint(_)));
        assert_eq!((table.paused(before), table.paused(now + ms(holds_ms))), (1, 0));
        let mut restarted = entry("d0", &service, "z0");
        restarted.started_unix_ms = Some(2);
        table.insert(now, restarted);
        assert!(matches!(pick(&table, now, &service), Pick::Endpoint(_)), "a new process");
    }
}

#[test]
fn one_request_at_a_time_until_one_is_answered() {
    let now = Instant::now();
    let mut pause = RequestedPause::new(now, ms(1_000), 0.0);
    assert!(pause.is_closed(now + ms(999)) && !pause.is_closed(now + ms(1_000)));
    pause.on_sent(now + ms(1_000));
    assert_eq!(pause.wait(now + ms(1_400)), ms(600), "the first has no answer yet");
    assert_eq!(pause.wait(now + ms(2_000)), Duration::ZERO, "it may never get one");
}

#[test]
fn few_calls_other_than_requests_are_made_in_a_pause() {
    let now = Instant::now();
    let mut pause = RequestedPause::new(now, ms(1_000), 0.0);
    let made = (0..10).filter(|_| pause.take_control_call(now + ms(700))).count();
    assert_eq!(made, 2);
    assert!(pause.take_control_call(now + ms(1_000)), "after the pause");
}

#[test]
fn refused_callers_return_after_the_pause_at_different_times() {
    let (wait, time_left) = (ms(1_000), ms(9_000));
    assert_eq!(pause_retry_after(wait, time_left, 0), wait);
    assert_eq!(pause_retry_after(wait, time_left, u64::MAX), ms(1_250));
    assert_eq!(pause_retry_after(ms(60_000), time_left, 7), ms(3_000), "callers honour a third");
}
