//! Stand-in for a replica of a plain service or of a model.

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Requests in a second above which a cold replica crashes: two and a half times the rate that it
/// takes, and more than the rule allows.
const CRASHES_ABOVE: usize = 24;
/// Path of the liveness check.
pub const HEALTH_PATH: &str = "/health";
/// Model of the replicas that run one.
pub const MODEL: &str = "model-a";

/// A request that reached a replica and was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    /// Whether the replica ended while it was at work on it.
    pub was_cut: bool,
}

/// A kept part of a prompt that another tenant's request made.
#[derive(Clone, Debug)]
pub struct ForeignPart {
    pub at: Duration,
    pub id: String,
    pub part: String,
    pub user: String,
    pub maker: String,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    foreign_parts: Vec<ForeignPart>,
    /// Tenant whose request made a part, by cache salt and part.
    kept: HashMap<(String, String), String>,
    connections: Vec<TcpStream>,
    cold_from: Duration,
    cold_until: Duration,
}

pub struct Settings {
    pub id: &'static str,
    pub service: &'static str,
    /// Time that it takes to run a request.
    pub work: Duration,
    pub has_model: bool,
}

#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    settings: Arc<Settings>,
    state: Arc<Mutex<State>>,
    is_listed: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    record: Record,
}

impl Replica {
    /// Starts a replica that is not listed yet.
    pub fn start(settings: Settings, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Self {
            address: listener.local_addr().expect("a bound listener"),
            settings: Arc::new(settings),
            state: Arc::default(),
            is_listed: Arc::default(),
            has_ended: Arc::default(),
            sequence: Arc::default(),
            record: record.clone(),
        };
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(SeqCst) {
                    return;
                }
                let copy = stream.try_clone().expect("a copy of the socket");
                accepting.state.lock().unwrap().connections.push(copy);
                let replica = accepting.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Lists the replica as ready, and writes its entry again every [`HEARTBEAT`].
    pub fn list(&self, store: &Store) {
        self.is_listed.store(true, SeqCst);
        let (replica, store) = (self.clone(), store.clone());
        replica.write_entry(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !replica.is_listed.load(SeqCst) {
                    return;
                }
                replica.write_entry(&store);
            }
        });
    }

    fn write_entry(&self, store: &Store) {
        let Settings { id, service, has_model, .. } = &*self.settings;
        let sequence = self.sequence.fetch_add(1, SeqCst);
        let models = match has_model {
            true => format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]"),
            false => "[]".to_owned(),
        };
        let cold_ms = self.cold_left().as_millis();
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":{cold_ms},\"sequence\":{sequence},\"born\":1764900000000,\
             \"stage\":\"colocated\",\"models\":{models}}}",
            self.address
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    /// Ends the heartbeats; the entry stays until it is removed.
    pub fn end_heartbeats(&self) {
        self.is_listed.store(false, SeqCst);
    }

    /// Ends the process: closes the listener and all connections.
    pub fn end(&self) {
        self.end_heartbeats();
        self.has_ended.store(true, SeqCst);
        // The listener's thread sees the end at its next connection.
        let _ = TcpStream::connect(self.address);
        let connections = std::mem::take(&mut self.state.lock().unwrap().connections);
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Makes the replica cold from now on.
    pub fn set_cold(&self, time: Duration) {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        (state.cold_from, state.cold_until) = (now, now + time);
    }

    pub fn cold_left(&self) -> Duration {
        let cold_until = self.state.lock().unwrap().cold_until;
        cold_until.saturating_sub(self.record.now())
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn foreign_parts(&self) -> Vec<ForeignPart> {
        self.state.lock().unwrap().foreign_parts.clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(req)) = http::read(&mut reader) {
            let answered = match req.word(1) {
                HEALTH_PATH => self.answer_health(&mut stream),
                "/api/report" => self.answer_report(&mut stream),
                _ => self.answer(&mut stream, &req),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn answer_health(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut fields = vec![("X-Replica-Id", self.settings.id.to_owned())];
        let cold = self.cold_left();
        if !cold.is_zero() {
            fields.push(("X-Cold-Ms", cold.as_millis().to_string()));
        }
        http::write(stream, "HTTP/1.1 200 OK", &fields, b"")
    }

    fn answer_report(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let body = format!(
            "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":80000,\
             \"handles\":0,\"born\":1764900000000}}"
        );
        let fields = [("Content-Type", "application/json".to_owned())];
        http::write(stream, "HTTP/1.1 200 OK", &fields, body.as_bytes())
    }

    fn answer(&self, stream: &mut TcpStream, req: &Message) -> std::io::Result<()> {
        let name = self.settings.id;
        let id = req.field("x-request-id").unwrap_or_default().to_owned();
        let expected = req.field("x-expect-replica");
        if expected.is_some_and(|expected| expected != name) {
            let fields = [("X-Request-Id", id), ("X-Not-Executed", "1".to_owned())];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &fields, b"");
        }
        self.use_parts(req, &id);
        let at = self.record.now();
        self.record.add(format!("{name}: runs {id}"));
        let (index, in_last_second) = {
            let mut state = self.state.lock().unwrap();
            state.runs.push(Run { at, id: id.clone(), was_cut: false });
            let from = at.saturating_sub(Duration::from_secs(1)).max(state.cold_from);
            let in_last_second = |run: &&Run| run.at >= from;
            (state.runs.len() - 1, state.runs.iter().filter(in_last_second).count())
        };
        if !self.cold_left().is_zero() && in_last_second > CRASHES_ABOVE {
            self.record
                .add(format!("{name}: crashes, {in_last_second} requests in a second while cold"));
            self.end();
        }
        thread::sleep(self.settings.work);
        if self.has_ended.load(SeqCst) {
            self.state.lock().unwrap().runs[index].was_cut = true;
            self.record.add(format!("{name}: ended while it ran {id}"));
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let mut fields = vec![
            ("X-Request-Id", id.clone()),
            ("X-Response-Seal", format!("seal-{id}")),
            ("X-Replica-Load", "1,0,6".to_owned()),
            ("Keep-Alive", "timeout=5".to_owned()),
        ];
        let body = match self.settings.has_model {
            true => {
                fields.push(("Content-Type", "text/event-stream".to_owned()));
                fields.push(("X-Weight-Versions", "1".to_owned()));
                "id: 1\ndata: one\n\nid: 2\ndata: two\n\n".to_owned()
            }
            false => format!("done {id}"),
        };
        http::write(stream, "HTTP/1.1 200 OK", &fields, body.as_bytes())
    }

    /// Finds the parts of a prompt that are kept under its cache salt, in order, and keeps the others.
    fn use_parts(&self, req: &Message, id: &str) {
        if !self.settings.has_model {
            return;
        }
        let tenant = req.field("x-tenant").unwrap_or_default().to_owned();
        let salt = req.field("x-cache-salt").unwrap_or_default().to_owned();
        let name = self.settings.id;
        self.record.add(format!("{name}: {id} is of tenant {tenant}, with cache salt {salt:?}"));
        let mut state = self.state.lock().unwrap();
        let mut is_prefix_kept = true;
        for entry in req.field("x-prefix-hash").unwrap_or_default().split(',') {
            let part = entry.split(':').next().unwrap_or_default().to_owned();
            let key = (salt.clone(), part.clone());
            match state.kept.get(&key).cloned() {
                Some(maker) if is_prefix_kept => {
                    self.record.add(format!("{name}: {id} uses part {part} made for {maker}"));
                    if maker != tenant {
                        let at = self.record.now();
                        let (id, user) = (id.to_owned(), tenant.clone());
                        state.foreign_parts.push(ForeignPart { at, id, part, user, maker });
                    }
                }
                Some(_) => {}
                None => {
                    is_prefix_kept = false;
                    state.kept.insert(key, tenant.clone());
                }
            }
        }
    }
}
