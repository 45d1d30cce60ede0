use super::{
    Event, EventKind, Scenario, Site,
    site::{CHICLAYO, HANGANG},
};
use std::time::Duration;

/// Names accepted by [`find`].
pub const NAMES: [&str; 7] =
    ["hangang", "chiclayo", "zone-move", "cold-start", "kv-outage", "order-storm", "big-neighbour"];

/// Finds a scenario by name; `None` if the name is unknown.
pub fn find(name: &str) -> Option<Scenario> {
    let scenario = match name {
        "hangang" => returning_contexts("hangang", HANGANG),
        "chiclayo" => returning_contexts("chiclayo", CHICLAYO),
        "zone-move" => Scenario {
            events: vec![event(4_000, EventKind::ZoneOut), event(8_500, EventKind::ZoneIn)],
            duration: Duration::from_secs(13),
            ..returning_contexts("zone-move", CHICLAYO)
        },
        "cold-start" => Scenario {
            events: vec![event(4_000, EventKind::TurnCold)],
            ..returning_contexts("cold-start", CHICLAYO)
        },
        "kv-outage" => Scenario {
            events: vec![event(3_000, EventKind::KvDown), event(8_000, EventKind::KvUp)],
            orders_per_second: 10.0,
            ..returning_contexts("kv-outage", HANGANG)
        },
        "order-storm" => Scenario {
            orders_per_second: 150.0,
            contexts: 40,
            ..returning_contexts("order-storm", CHICLAYO)
        },
        "big-neighbour" => {
            Scenario { neighbour_per_second: 60.0, ..returning_contexts("big-neighbour", HANGANG) }
        }
        _ => return None,
    };
    Some(scenario)
}

/// Scenario in which callers return to a context after an interval long enough for the engines to
/// have evicted its cache pieces.
fn returning_contexts(name: &'static str, site: Site) -> Scenario {
    // About 64 pieces per engine (8 contexts of 4 to 12 pieces each), more than the 24 of its cache.
    let contexts = site.replicas * 8;
    Scenario {
        name,
        duration: Duration::from_secs(12),
        workspaces: 10,
        large_workspaces: 3,
        large_share: 0.6,
        contexts,
        initial_pieces: (4, 12),
        mean_interval: Duration::from_secs(4),
        batch_share: if site.service == CHICLAYO.service { 0.4 } else { 0.15 },
        max_tokens: 12,
        orders_per_second: 4.0,
        neighbour_per_second: 0.0,
        engine_cache_pieces: 24,
        store_cache_pieces: 1_500,
        events: Vec::new(),
        site,
    }
}

fn event(at_ms: u64, kind: EventKind) -> Event {
    Event { at: Duration::from_millis(at_ms), kind }
}
