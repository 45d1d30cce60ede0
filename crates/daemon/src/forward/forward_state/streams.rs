//! Software versions at which streams began, and may go on.

use super::ForwardState;
use crate::forward::call::Call;
use cassiagw_core::{
    forwarding::{
        AnnouncementStep, BootTime, PlacementNumber, ResumeDecision, ResumeInputs, ServedVersions,
        StreamKey, StreamOrigin, StreamOrigins, stream_holders,
    },
    ids::{DaemonId, FastMap, ServiceId, ServiceVersion},
};
use cassiagw_platform::{StoreKey, parse_key, stream_versions_key};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// Time for which the origin of a stream is held whose service has no lifetime in the settings.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(30);
/// Placement number of a statement about a stream that has brought events.
const BROUGHT_EVENTS: PlacementNumber = PlacementNumber::MAX;

/// Versions at which streams began, as far as this daemon knows.
#[derive(Default)]
pub struct StreamState {
    /// Versions of the services whose streams can be resumed.
    served: FastMap<ServiceId, ServedVersions>,
    /// Time for which the streams of each service can be resumed after their beginning.
    pub(super) lifetimes: FastMap<ServiceId, Duration>,
    /// Where streams were placed.
    origins: StreamOrigins,
    /// Origins that other daemons have not been told yet.
    to_tell: Vec<StreamOrigin>,
}

/// JSON value of the key that announces the versions of a service that may have begun streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamVersionsValue {
    /// The versions.
    pub versions: Vec<ServiceVersion>,
}

/// A change of a service's announcement that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueAnnouncement {
    /// The service.
    pub service: ServiceId,
    /// What to do.
    pub step: AnnouncementStep,
    /// Revision that the key has; 0 if it does not exist.
    pub revision: u64,
}

/// What was learned of a stream since a call came that resumes it.
#[derive(Clone, Debug)]
pub struct ResumeLearned {
    /// When the call came.
    pub since: BootTime,
    /// Whether it was tried to prove that the view is complete.
    pub has_confirmed: bool,
    /// Whether the daemons that hold the origin were asked.
    pub has_asked: bool,
    /// Origin of the stream as one of them told it.
    pub origin: Option<StreamOrigin>,
}

impl ResumeLearned {
    /// Nothing was learned yet of a stream whose call came at `since`.
    pub fn new(since: BootTime) -> Self {
        Self { since, has_confirmed: false, has_asked: false, origin: None }
    }
}

/// Whether a key says something about the versions that serve.
pub fn matters(key: &str) -> bool {
    matches!(
        parse_key(key),
        StoreKey::Endpoint(_) | StoreKey::Settings | StoreKey::StreamVersions(_)
    )
}

impl ForwardState {
    /// Updates which versions of each service may have begun streams.
    pub fn update_served_versions(&mut self, now: Instant) {
        let lifetimes = std::mem::take(&mut self.streams.lifetimes);
        for (service, lifetime) in &lifetimes {
            let listed = self.endpoints.listed_versions(service);
            let announced = self.value::<StreamVersionsValue>(&stream_versions_key(service));
            let new = || ServedVersions::new(now, *lifetime);
            let served = self.streams.served.entry(service.clone()).or_insert_with(new);
            let was_mixed = served.is_mixed(now);
            served.set_lifetime(*lifetime);
            served.on_announced(now, announced.map_or_else(Vec::new, |value| value.versions));
            served.on_listed(now, listed.into_iter().map(|listed| listed.version).collect());
            let is_mixed = served.is_mixed(now);
            if was_mixed != is_mixed {
                log::info!(event = "versions_mixed", service:% = service, is_mixed; "");
            }
            if is_mixed && !was_mixed {
                self.streams.to_tell.extend(self.streams.origins.of_service(now, service).cloned());
            }
        }
        self.streams.lifetimes = lifetimes;
    }

    /// Services of which several versions may have begun streams.
    pub fn mixed_services(&self, now: Instant) -> impl Iterator<Item = &ServiceId> {
        let mixed = self.streams.served.iter().filter(move |(_, served)| served.is_mixed(now));
        mixed.map(|(service, _)| service)
    }

    /// Changes of announcements that are due.
    pub fn due_announcements(&self, now: Instant) -> Vec<DueAnnouncement> {
        let due = self.streams.served.iter().filter_map(|(service, served)| {
            let key = self.view.get(&stream_versions_key(service));
            Some(DueAnnouncement {
                service: service.clone(),
                step: served.due_step(now)?,
                revision: key.map_or(0, |item| item.written_at.revision),
            })
        });
        due.collect()
    }

    /// Versions to which a call may go: that at which its stream began or, before that, those at which
    /// streams may begin. `None` if it may go to any.
    pub fn versions_for(&self, now: Instant, call: &Call) -> Option<Vec<ServiceVersion>> {
        if !call.is_resumable() {
            return None;
        }
        match call.stream_version.get() {
            Some(version) => Some(vec![version.clone()]),
            None => {
                let service = &call.service.name;
                let served =
                    self.streams.served.get(service).filter(|served| served.is_mixed(now))?;
                served.may_begin(now, &self.endpoints.listed_versions(service))
            }
        }
    }

    /// Decides where a stream goes on that a call resumes, by what was learned since it came.
    pub fn resume(&self, call: &Call, learned: &ResumeLearned) -> ResumeDecision {
        let now = Instant::now();
        let served = self.streams.served.get(&call.service.name);
        let own = call
            .head
            .resumes
            .as_ref()
            .and_then(|_| self.streams.origins.get(now, call.stream_key()));
        let inputs = ResumeInputs {
            service: &call.service.name,
            origin: own.or(learned.origin.as_ref()),
            only_version: served.and_then(|served| served.only(now)),
            is_view_complete: self.is_view_complete_since(learned.since),
            can_confirm: !learned.has_confirmed,
            can_ask: !learned.has_asked && call.head.resumes.is_some(),
        };
        inputs.decide()
    }

    /// Records at which version a stream was placed. Returns whether other daemons are to be told.
    pub fn on_stream_placed(
        &mut self,
        now: Instant,
        call: &Call,
        version: &ServiceVersion,
    ) -> bool {
        let number = call.placements.fetch_add(1, Ordering::Relaxed);
        let has_begun = call.stream_version.get().is_some();
        let service = &call.service.name;
        let origin = StreamOrigin {
            key: call.stream_key(),
            service: service.clone(),
            version: version.clone(),
            placement: if has_begun { BROUGHT_EVENTS } else { number },
        };
        let is_mixed = self.streams.served.get(service).is_some_and(|served| served.is_mixed(now));
        if is_mixed {
            self.streams.to_tell.push(origin.clone());
        }
        self.streams.origins.record(now, self.stream_lifetime(service), origin);
        is_mixed
    }

    /// Origin of a stream; `None` if this daemon does not know it.
    pub fn stream_origin(&self, now: Instant, key: StreamKey) -> Option<StreamOrigin> {
        self.streams.origins.get(now, key).cloned()
    }

    /// Records origins that another daemon told.
    pub fn on_told_origins(&mut self, now: Instant, origins: Vec<StreamOrigin>) {
        for origin in origins {
            self.streams.origins.record(now, self.stream_lifetime(&origin.service), origin);
        }
    }

    /// Drains the origins that other daemons are to be told, by the address of the daemon.
    pub fn take_origins_to_tell(&mut self) -> FastMap<SocketAddr, Vec<StreamOrigin>> {
        let mut by_peer: FastMap<SocketAddr, Vec<StreamOrigin>> = FastMap::default();
        for origin in std::mem::take(&mut self.streams.to_tell) {
            for peer in self.holder_addresses(origin.key) {
                by_peer.entry(peer).or_default().push(origin.clone());
            }
        }
        by_peer
    }

    /// Addresses of the other daemons that hold the origin of a stream.
    pub fn holder_addresses(&self, key: StreamKey) -> Vec<SocketAddr> {
        let daemons = self.members.keys().chain([self.name()]);
        let holders: Vec<&DaemonId> = stream_holders(daemons, key);
        holders.into_iter().filter_map(|holder| self.peer_address(holder)).collect()
    }

    fn stream_lifetime(&self, service: &ServiceId) -> Duration {
        self.streams.lifetimes.get(service).copied().unwrap_or(DEFAULT_LIFETIME)
    }
}
