//! Stand-in for the platform's metadata store.

use crate::{
    http::{self, Message},
    json::{Json, from_base64, quote, to_base64},
    record::Record,
};
use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// What becomes of a write call.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It gets no answer and is carried out after this time, if its condition still holds.
    Late(Duration),
}

struct Stored {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    /// Number of times that all waiting watches were cut.
    cuts: u64,
    write_calls: u64,
}

type Judge = dyn Fn(&str) -> Fate + Send + Sync;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    judge: Arc<Mutex<Box<Judge>>>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State { revision: 1, next_lease: 1, ..State::default() };
        let store = Self {
            address: listener.local_addr().expect("a bound listener"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            judge: Arc::new(Mutex::new(Box::new(|_| Fate::Answered))),
            record: record.clone(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                expiring.expire();
            }
        });
        store
    }

    /// Decides the fate of each write call by the keys that it writes.
    pub fn judge_writes(&self, judge: impl Fn(&str) -> Fate + Send + Sync + 'static) {
        *self.judge.lock().unwrap() = Box::new(judge);
    }

    /// Writes a key, as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(key, value.as_bytes(), 0);
        changed.notify_all();
    }

    /// Removes a key; with `cuts_watches`, the watches that wait are cut before they are told.
    pub fn remove(&self, key: &str, cuts_watches: bool) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.remove(key);
        state.cuts += u64::from(cuts_watches);
        drop(state);
        changed.notify_all();
    }

    /// Keys that start with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Number of calls so far that write: transactions and leases granted.
    pub fn write_calls(&self) -> u64 {
        self.shared.0.lock().unwrap().write_calls
    }

    fn expire(&self) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let now = Instant::now();
        let expired = state.leases.iter().filter(|(_, lease)| now >= lease.until);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let keys = state.end_lease(id);
            if !keys.is_empty() {
                self.record.add(format!("store: lease {id} ends, removes {}", keys.join(" ")));
            }
            changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(call)) = http::read(&mut reader) {
            let Some((status, body)) = self.answer(&call) else {
                // A lost answer or a cut watch: the channel returns nothing further.
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let fields = [("Content-Type", "application/json".to_owned())];
            let line = format!("HTTP/1.1 {status} -");
            if http::write(&mut stream, &line, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> Option<(u16, String)> {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let query: HashMap<&str, String> =
            query.split('&').filter_map(|pair| pair.split_once('=')).map(decode_pair).collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        let (state, changed) = &*self.shared;
        match path {
            "/api/kv-key" => Some(state.lock().unwrap().read(&text("key"))),
            "/api/kv-range" => Some(state.lock().unwrap().range(&text("prefix"), &text("after"))),
            "/api/kv-watch" => {
                let after = text("after").parse().unwrap_or_default();
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or_default());
                self.watch(&text("prefix"), after, wait)
            }
            "/api/kv-txn" => self.change(body),
            "/api/kv-lease" => {
                let ttl = Duration::from_millis(body.get("ttl_ms").number());
                let lease = state.lock().unwrap().grant(ttl);
                Some((200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis())))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut state = state.lock().unwrap();
                let is_known = match path.contains("/kv-keep/") {
                    true => state.renew(id),
                    false => state.leases.contains_key(&id),
                };
                if path.contains("/kv-lease-end/") {
                    state.end_lease(id);
                    changed.notify_all();
                }
                Some((if is_known { 200 } else { 404 }, "{}".to_owned()))
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        let cuts = state.cuts;
        loop {
            if state.cuts > cuts {
                return None;
            }
            let history = state.history.iter();
            let events = history.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return Some((200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}")));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, body: Json) -> Option<(u16, String)> {
        let puts = body.get("puts").list().iter().map(|put| put.get("key"));
        let keys = puts.chain(body.get("deletes").list()).map(Json::text).collect::<Vec<_>>();
        let keys = keys.join(" ");
        let (state, changed) = &*self.shared;
        let fate = (self.judge.lock().unwrap())(&keys);
        if let Fate::Late(time) = fate {
            self.shared.0.lock().unwrap().write_calls += 1;
            self.record.add(format!("store: the write of {keys} gets no answer"));
            let store = self.clone();
            thread::spawn(move || {
                thread::sleep(time);
                let (state, changed) = &*store.shared;
                let (status, _) = state.lock().unwrap().change(&body);
                store.record.add(format!("store: the write of {keys} is carried out: {status}"));
                changed.notify_all();
            });
            // The caller's time-out ends the call.
            thread::sleep(Duration::from_secs(10));
            return None;
        }
        let answer = {
            let mut state = state.lock().unwrap();
            state.write_calls += 1;
            state.change(&body)
        };
        self.record.add(format!("store: writes {keys}: {}", answer.0));
        changed.notify_all();
        Some(answer)
    }
}

fn decode_pair<'a>((name, value): (&'a str, &str)) -> (&'a str, String) {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                u8::from_str_radix(&digits, 16).unwrap_or_default()
            }
            byte => byte,
        });
    }
    (name, String::from_utf8_lossy(&bytes).into_owned())
}

impl State {
    fn item(key: &str, stored: &Stored) -> String {
        let Stored { value, revision, created, lease } = stored;
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}",
            quote(key),
            to_base64(value)
        )
    }

    fn read(&self, key: &str) -> (u16, String) {
        match self.keys.get(key) {
            Some(stored) => (200, Self::item(key, stored)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let matching = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let rest = matching.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let items: Vec<String> = rest.map(|(key, stored)| Self::item(key, stored)).collect();
        let (items, as_of) = (items.join(","), self.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"))
    }

    fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.keys.get(key).map_or(revision, |stored| stored.created);
        let stored = Stored { value: value.to_vec(), revision, created, lease };
        self.history.push((revision, key.to_owned(), Self::item(key, &stored)));
        self.keys.insert(key.to_owned(), stored);
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event =
                format!("{{\"key\":{},\"revision\":{revision},\"removed\":true}}", quote(key));
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn grant(&mut self, ttl: Duration) -> u64 {
        self.write_calls += 1;
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, until: Instant::now() + ttl });
        self.next_lease
    }

    fn renew(&mut self, id: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.map(|lease| lease.until = Instant::now() + lease.ttl).is_some()
    }

    fn end_lease(&mut self, id: u64) -> Vec<String> {
        if self.leases.remove(&id).is_none() {
            return Vec::new();
        }
        let keys = self.keys.iter().filter(|(_, stored)| stored.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        keys
    }

    fn change(&mut self, body: &Json) -> (u16, String) {
        let holds = |row: &Json| {
            let revision = self.keys.get(row.get("key").text()).map_or(0, |s| s.revision);
            revision == row.get("revision").number()
        };
        let expected = body.get("expected").list();
        if !expected.iter().all(holds) {
            let keys = expected.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(Self::item(key, self.keys.get(key)?)));
            return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number();
        if !puts.iter().all(|put| lease(put) == 0 || self.leases.contains_key(&lease(put))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = from_base64(put.get("value").text());
            self.put(put.get("key").text(), &value, lease(put));
        }
        body.get("deletes").list().iter().for_each(|key| self.remove(key.text()));
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}
