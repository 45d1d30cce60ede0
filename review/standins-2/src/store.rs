//! The platform's store, as far as daemons use it: reads, watches, transactions and leases.

use crate::{
    http::{Request, json_answer, serve},
    json::{Json, base64},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Interval at which ended leases are looked for.
const LEASE_INTERVAL: Duration = Duration::from_millis(10);
/// Largest number of items in a page.
const MAX_PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: the item as it was written, or `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

impl Store {
    /// Starts an empty store.
    pub fn new() -> Self {
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        let address = serve(move |req| served.answer(req));
        let leases = shared.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_INTERVAL);
                leases.end_leases(|lease| Instant::now() >= lease.ends);
            }
        });
        Self { address, shared }
    }

    /// Writes a value, as the operator and the replicas do.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.lock().put(key, &base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let revision = self.revision;
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn events_after(&self, after: u64, prefix: &str) -> String {
        let events =
            self.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events = events.map(|(at, key, item)| match item {
            Some(item) => item_json(key, item),
            None => format!(r#"{{"key":"{key}","revision":{at},"removed":true}}"#),
        });
        events.collect::<Vec<_>>().join(",")
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        // The revision starts above 0, and each change that follows has one of its own.
        state.revision += 1;
        state
    }

    fn read(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_leases(&self, is_ended: impl Fn(&Lease) -> bool) {
        let ended: Vec<u64> = {
            let state = self.read();
            state.leases.iter().filter(|(_, lease)| is_ended(lease)).map(|(id, _)| *id).collect()
        };
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&self, id: u64) {
        let mut state = self.lock();
        state.leases.remove(&id);
        let keys = state.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| state.remove(key));
        self.changed.notify_all();
    }

    fn answer(&self, req: &Request) -> Vec<u8> {
        let path = req.target.split('?').next().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&req.body));
        let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        match (req.method.as_str(), path) {
            ("GET", "/api/kv-key") => self.key(&req.query("key").unwrap_or_default()),
            ("GET", "/api/kv-range") => self.range(req),
            ("GET", "/api/kv-watch") => self.watch(req),
            ("POST", "/api/kv-txn") => body.map_or_else(bad_request, |body| self.change(&body)),
            ("POST", "/api/kv-lease") => {
                let ttl_ms = body.and_then(|body| body.get("ttl_ms")?.number()).unwrap_or(1_000);
                let mut state = self.read();
                state.last_lease += 1;
                let id = state.last_lease;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                json_answer("200 OK", &format!(r#"{{"lease":{id},"ttl_ms":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let mut state = self.read();
                let Some(lease) = state.leases.get_mut(&id) else { return not_found() };
                lease.ends = Instant::now() + lease.ttl;
                json_answer("200 OK", "{}")
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                if !self.read().leases.contains_key(&id) {
                    return not_found();
                }
                self.end_lease(id);
                json_answer("200 OK", "{}")
            }
            _ => not_found(),
        }
    }

    fn key(&self, key: &str) -> Vec<u8> {
        let state = self.read();
        let item = state.items.get(key).map(|item| item_json(key, item));
        item.map_or_else(not_found, |item| json_answer("200 OK", &item))
    }

    fn range(&self, req: &Request) -> Vec<u8> {
        let prefix = req.query("prefix").unwrap_or_default();
        let after = req.query("after");
        let state = self.read();
        let is_wanted = |key: &str| {
            key.starts_with(&prefix) && after.as_deref().is_none_or(|after| key > after)
        };
        let mut items = state.items.iter().filter(|(key, _)| is_wanted(key));
        let page: Vec<String> =
            items.by_ref().take(MAX_PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let has_more = items.next().is_some();
        let body = format!(
            r#"{{"items":[{}],"has_more":{has_more},"as_of":{}}}"#,
            page.join(","),
            state.revision
        );
        json_answer("200 OK", &body)
    }

    fn watch(&self, req: &Request) -> Vec<u8> {
        let number = |name| req.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("after"), number("wait_ms"));
        let prefix = req.query("prefix").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.read();
        loop {
            let events = state.events_after(after, &prefix);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                let body = format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#);
                return json_answer("200 OK", &body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn change(&self, body: &Json) -> Vec<u8> {
        let entries = |name| body.get(name).map_or(&[][..], Json::list);
        let field = |entry: &Json, name: &str| {
            entry.get(name).and_then(|value| value.text().map(str::to_owned)).unwrap_or_default()
        };
        let number = |entry: &Json, name: &str| entry.get(name).and_then(Json::number).unwrap_or(0);
        let mut state = self.lock();
        for expected in entries("expected") {
            let known = state.items.get(&field(expected, "key")).map_or(0, |item| item.revision);
            if known != number(expected, "revision") {
                return json_answer("412 Precondition Failed", r#"{"items":[]}"#);
            }
        }
        let has_lease = |put: &Json| {
            let lease = number(put, "lease");
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !entries("puts").iter().all(has_lease) {
            return not_found();
        }
        for put in entries("puts") {
            let (key, value) = (field(put, "key"), field(put, "value"));
            state.put(&key, &value, number(put, "lease"));
        }
        for key in entries("deletes").iter().filter_map(Json::text) {
            state.remove(key);
        }
        self.changed.notify_all();
        json_answer("200 OK", &format!(r#"{{"revision":{}}}"#, state.revision))
    }
}

fn not_found() -> Vec<u8> {
    json_answer("404 Not Found", "{}")
}

fn bad_request() -> Vec<u8> {
    json_answer("400 Bad Request", "{}")
}
