use cassiagw_core::{
    ids::{DaemonId, Revision},
    ledger::{AppendId, Compare, KvCallError, KvPair, KvRange, LedgerError, Op, Txn},
    membership::{CampaignOutcome, Event, MemberRead, PeerInfo, ServiceUnavailable, SettingsRead},
    settings::{Tree, decode_snapshot, encode_snapshot},
};
use cassiagw_surfaces::kv::{
    KvClient, LeaseState, LedgerClient, LedgerReadError, LoadedLedger, WatchEvent,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc::UnboundedSender;

/// Calls to the key-value service for settings, membership and watcher slots.
pub struct ServiceCalls {
    kv: KvClient,
    ledger: LedgerClient,
    prefix: String,
    member_lease: Duration,
    slot_lease: Duration,
}

impl ServiceCalls {
    /// Makes a client for the keys of a deployment below `prefix`.
    pub fn new(kv: KvClient, ledger: LedgerClient, prefix: &str) -> Self {
        let cfg = cassiagw_core::membership::GossipConfig::default();
        Self {
            kv,
            ledger,
            prefix: prefix.into(),
            member_lease: cfg.member_lease,
            slot_lease: cfg.slot_lease,
        }
    }

    /// Reads one page of the settings log from a revision on.
    pub async fn read_log(&self, next: Revision) -> Event {
        let sent = Instant::now();
        let result = match self.ledger.read_page(next).await {
            Ok(page) => Ok(SettingsRead::Page(page)),
            Err(LedgerReadError::Content(LedgerError::Compacted { .. })) => {
                Ok(SettingsRead::Compacted)
            }
            Err(error) => Err(call_failed("read_log", &error)),
        };
        Event::SettingsRead { sent, result }
    }

    /// Reads the newest settings snapshot and the log records after it.
    pub async fn load_settings(&self) -> Event {
        let sent = Instant::now();
        let loaded = self.ledger.load().await.map_err(|error| call_failed("load", &error));
        Event::SettingsRead { sent, result: loaded.and_then(decode_settings) }
    }

    /// Writes a snapshot if it is at least `ahead` revisions newer than the stored one.
    pub async fn write_snapshot(&self, tree: &Tree, ahead: u64) {
        let revision = tree.revision;
        match self.try_write_snapshot(tree, ahead).await {
            Ok(is_newest) => {
                log::info!(event = "snapshot", revision = revision, written = is_newest; "");
            }
            Err(error) => log::warn!(event = "snapshot_failed", error:% = error; ""),
        }
    }

    async fn try_write_snapshot(&self, tree: &Tree, ahead: u64) -> Result<bool, KvCallError> {
        if self.ledger.snapshot_revision().await? + ahead > tree.revision {
            return Ok(false);
        }
        let id = AppendId(rand::random());
        self.ledger.write_snapshot(id, tree.revision, &encode_snapshot(tree)).await
    }

    /// Watches the settings log from a revision of the key-value service on and sends its records
    /// to `tx`.
    pub async fn watch_log(&self, from: u64, tx: UnboundedSender<Event>) {
        let keys = self.ledger.keys();
        let range = keys.log_from(0);
        if let Ok(mut watch) = self.kv.watch(&range, from).await {
            while let Ok(answer) = watch.next().await {
                let records = answer
                    .events
                    .into_iter()
                    .filter_map(|event| match event {
                        WatchEvent::Put(pair) => keys.record_of(pair),
                        WatchEvent::Delete { .. } => None,
                    })
                    .collect::<Vec<_>>();
                if !records.is_empty() && tx.send(Event::LogWatchUpdate(records)).is_err() {
                    return;
                }
            }
        }
        let _ = tx.send(Event::LogWatchEnded);
    }

    /// Reads the list of registered daemons.
    pub async fn read_members(&self) -> Event {
        let reply = self.kv.range(&KvRange::prefix(&self.members_prefix())).await;
        let read = reply.map(|reply| MemberRead {
            version: reply.revision,
            members: reply.pairs.iter().filter_map(parse_member).collect(),
        });
        Event::MembersRead(read.map_err(|error| call_failed("read_members", &error)))
    }

    /// Watches the registered daemons from a revision of the key-value service on and sends changes
    /// to `tx`.
    pub async fn watch_members(&self, from: u64, tx: UnboundedSender<Event>) {
        let prefix = self.members_prefix();
        if let Ok(mut watch) = self.kv.watch(&KvRange::prefix(&prefix), from).await {
            while let Ok(answer) = watch.next().await {
                // The response's own revision may be ahead of changes that the watch has not
                // delivered yet, so the version is taken from the events.
                let mut version = 0;
                let mut joined = Vec::new();
                let mut left: Vec<DaemonId> = Vec::new();
                for event in answer.events {
                    version = version.max(event.revision());
                    match event {
                        WatchEvent::Put(pair) => {
                            let peer = parse_member(&pair);
                            left.retain(|daemon| {
                                peer.iter().all(|(info, _)| info.daemon != *daemon)
                            });
                            joined.extend(peer);
                        }
                        WatchEvent::Delete { key, .. } => {
                            let daemon = key.strip_prefix(&prefix).map(DaemonId::from);
                            joined.retain(|(info, _): &(PeerInfo, u64)| {
                                Some(&info.daemon) != daemon.as_ref()
                            });
                            left.extend(daemon);
                        }
                    }
                }
                let is_empty = joined.is_empty() && left.is_empty();
                let event = Event::MemberWatchUpdate { version, joined, left };
                if !is_empty && tx.send(event).is_err() {
                    return;
                }
            }
        }
        let _ = tx.send(Event::MemberWatchEnded);
    }

    /// Registers this daemon under a new lease.
    pub async fn register(&self, local_peer: &PeerInfo) -> Event {
        Event::Registered(self.try_register(local_peer).await)
    }

    async fn try_register(&self, local_peer: &PeerInfo) -> Result<i64, ServiceUnavailable> {
        let lease = self.grant_lease(self.member_lease).await?;
        let key = format!("{}{}", self.members_prefix(), local_peer.daemon);
        let value = serde_json::to_vec(local_peer).expect("peer info serializes to JSON");
        let put = Op::Put { key, value, lease: Some(lease) };
        let txn = Txn { success: vec![put], ..Txn::default() };
        match self.kv.txn(&txn).await {
            Ok(_) => Ok(lease),
            Err(error) => Err(call_failed("register", &error)),
        }
    }

    /// Renews a lease; false if it has expired or was revoked.
    pub async fn renew_lease(&self, lease: i64) -> Result<bool, ServiceUnavailable> {
        match self.kv.keep_lease(lease).await {
            Ok(LeaseState::Held(_)) => Ok(true),
            Ok(LeaseState::Gone) => Ok(false),
            Err(error) => Err(call_failed("keep_lease", &error)),
        }
    }

    /// Revokes a lease; a failure is only logged, as the lease then expires.
    pub async fn revoke_lease(&self, lease: i64) {
        if let Err(error) = self.kv.revoke_lease(lease).await {
            log::warn!(event = "lease_not_revoked", error:% = error; "");
        }
    }

    /// Tries to acquire a watcher slot of the daemon's zone.
    pub async fn campaign(&self, local_peer: &PeerInfo, slot: usize) -> Event {
        Event::Campaigned { slot, result: self.try_campaign(local_peer, slot).await }
    }

    async fn try_campaign(
        &self,
        local_peer: &PeerInfo,
        slot: usize,
    ) -> Result<CampaignOutcome, ServiceUnavailable> {
        let key = format!("{}/watchers/{}/{slot}", self.prefix, local_peer.zone);
        let lease = self.grant_lease(self.slot_lease).await?;
        let value = local_peer.daemon.as_bytes().to_vec();
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone())],
            success: vec![Op::Put { key: key.clone(), value, lease: Some(lease) }],
            failure: vec![Op::Range(KvRange::one(key))],
        };
        let reply = self.kv.txn(&txn).await.map_err(|error| call_failed("campaign", &error))?;
        if reply.succeeded {
            return Ok(CampaignOutcome::Won(lease));
        }
        self.revoke_lease(lease).await;
        let holder = reply.first_pair().map(|pair| String::from_utf8_lossy(&pair.value));
        Ok(CampaignOutcome::Held(holder.unwrap_or_default().as_ref().into()))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<i64, ServiceUnavailable> {
        self.kv.grant_lease(ttl).await.map_err(|error| call_failed("grant_lease", &error))
    }

    fn members_prefix(&self) -> String {
        format!("{}/live/", self.prefix)
    }
}

fn decode_settings(loaded: LoadedLedger) -> Result<SettingsRead, ServiceUnavailable> {
    let tree = match loaded.snapshot {
        Some(set) => decode_snapshot(set.revision, &set.content)
            .map_err(|error| call_failed("snapshot", &error))?,
        None => Tree::default(),
    };
    Ok(SettingsRead::Loaded { tree: Arc::new(tree), records: loaded.records })
}

fn parse_member(pair: &KvPair) -> Option<(PeerInfo, u64)> {
    let info = serde_json::from_slice(&pair.value).ok()?;
    Some((info, pair.mod_revision))
}

fn call_failed(call: &str, error: &dyn std::fmt::Display) -> ServiceUnavailable {
    log::debug!(event = "service_call_failed", call = call, error:% = error; "");
    ServiceUnavailable
}
