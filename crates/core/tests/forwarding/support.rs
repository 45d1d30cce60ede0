//! Routes, services, entries and prompts shared by the tests.

use cassiagw_core::{
    forwarding::{
        EndpointEntry, EndpointPhase, ModelEngine, PickRequest, Prompt, PromptPart, Route,
        RouteKind, Service, Target,
    },
    ids::{DaemonId, FastMap, ZoneId},
};
use std::time::Duration;

pub const MODEL: &str = "m";

pub fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(3),
        target_latency: Duration::from_millis(300),
        priority: 0,
        targets: vec![Target { service: "desk".into(), weight: 1 }],
        max_attempts: 2,
        is_public: false,
        max_pause: None,
    }
}

pub fn plain_service() -> Service {
    Service { name: "desk".into(), cold_per_s: 0.0, health_path: None, engine: None }
}

pub fn engine_service() -> Service {
    Service {
        name: "engines".into(),
        cold_per_s: 10.0,
        health_path: None,
        engine: Some(ModelEngine { slots: 64, memory_tokens: 80_000, models: vec![MODEL.into()] }),
    }
}

pub fn entry(id: &str, service: &Service, zone: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        version: "v1".into(),
        service: service.name.clone(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        slots: 6,
        phase: EndpointPhase::Ready,
        cold_left: Duration::ZERO,
        started_unix_ms: Some(1),
        weights: service.engine.iter().map(|_| (MODEL.into(), 1)).collect(),
    }
}

/// A request without a prompt, which no endpoint has got yet.
pub fn plain_request(service: &Service) -> PickRequest<'_> {
    PickRequest {
        may_expose: false,
        service,
        prompt: None,
        part: None,
        stored_in: &[],
        excluded: &[],
        versions: None,
        old_weights_limit: Duration::from_secs(6),
        tie_breaker: 7,
    }
}

/// A prompt of 8,000 shared tokens and 2,000 of its own.
pub fn prompt(shared: &str) -> Prompt {
    let part = |id: &str, tokens| PromptPart { id: id.to_owned(), tokens };
    Prompt {
        model: MODEL.into(),
        tokens: 10_000,
        max_output: 50,
        parts: vec![part("base", 500), part(shared, 7_500), part("own", 2_000)],
    }
}

/// Daemons in availability zones, assigned in turn.
pub struct Fleet {
    daemons: Vec<DaemonId>,
    zones: FastMap<DaemonId, ZoneId>,
}

impl Fleet {
    pub fn new(zones: usize, daemons: usize) -> Self {
        let names: Vec<DaemonId> =
            (0..daemons).map(|number| format!("entry-{number}").into()).collect();
        let zone = |number| format!("zone-{}", number % zones).into();
        let by_name = names.iter().cloned().enumerate();
        let zones = by_name.map(|(number, name)| (name, zone(number))).collect();
        Self { daemons: names, zones }
    }

    pub fn daemons(&self) -> impl Iterator<Item = &DaemonId> {
        self.daemons.iter()
    }

    pub fn zone(&self, daemon: &DaemonId) -> &ZoneId {
        &self.zones[daemon]
    }

    pub fn others(&self, own: &DaemonId) -> impl Iterator<Item = (&DaemonId, &ZoneId)> {
        let others = self.daemons.iter().filter(move |name| *name != own);
        others.map(|name| (name, self.zone(name)))
    }
}
