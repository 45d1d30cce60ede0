//! Prompts that other daemons have queued at engines, from reports of some age.

use super::support::{engine_service, entry, plain_request, prompt};
use cassiagw_core::forwarding::{
    DaemonRanks, EndpointTable, EndpointWork, Pick, PickRequest, part_key,
};
use std::time::{Duration, Instant};

struct Case {
    other_daemons: usize,
    age_ms: u64,
    has_room: bool,
}

/// Guards against requests that wait, in fleets of many daemons, for prompts which an engine has
/// prefilled since they were reported.
#[test]
fn what_an_engine_has_prefilled_since_a_report_is_not_waited_for() {
    let cases = [
        Case { other_daemons: 47, age_ms: 0, has_room: false },
        Case { other_daemons: 47, age_ms: 30, has_room: false },
        Case { other_daemons: 47, age_ms: 100, has_room: true },
        // Few daemons take the report as it is until it expires.
        Case { other_daemons: 2, age_ms: 100, has_room: false },
        Case { other_daemons: 2, age_ms: 1_600, has_room: true },
    ];
    for Case { other_daemons, age_ms, has_room } in cases {
        let now = Instant::now();
        let service = engine_service();
        let mut table = EndpointTable::new("z0".into());
        table.insert(now, entry("e0", &service, "z0"));
        let names: Vec<String> = (0..other_daemons).map(|number| format!("d{number}")).collect();
        table.set_daemons(DaemonRanks::new("own", names.iter().map(String::as_str)));
        // A prompt of 10,000 tokens is more than may be queued, unless nothing else is.
        let work = EndpointWork {
            endpoint: "e0".into(),
            requests: 1,
            unread_tokens: 2_500,
            memory_tokens: 2_500,
        };
        table.on_peer_work(now, now, "d0".into(), vec![work]);
        let prompt = prompt("part");
        let part = part_key("m/1/", &prompt);
        let req = PickRequest { prompt: Some(&prompt), part, ..plain_request(&service) };
        let pick = table.pick(now + Duration::from_millis(age_ms), &req);
        let is_placed = matches!(pick, Pick::Endpoint(_));
        assert_eq!(is_placed, has_room, "{other_daemons} other daemons, {age_ms} ms");
    }
}
