//! Snapshot of the log lines of complete requests: every decision must be logged.

#[path = "forward/support.rs"]
#[allow(dead_code, reason = "used only by the other forwarding tests")]
mod support;

use cassiagw_platform_standins::Behaviour;
use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{self, Key, Value, VisitSource},
};
use std::{
    fmt::Write,
    sync::{Mutex, PoisonError},
    time::Duration,
};
use support::Cluster;

/// Fields with durations, which differ between runs.
const TIMES: [&str; 6] =
    ["at_ms", "first_ms", "left_ms", "longest_pause_ms", "report_age_ms", "wait_ms"];

/// Captured log lines about requests, as pairs of request ID and text.
struct Capture(Mutex<Vec<(String, String)>>);

static LINES: Capture = Capture(Mutex::new(Vec::new()));

impl Log for Capture {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line::default();
        record.key_values().visit(&mut line).expect("the visitor accepts every value");
        if let Some(id) = line.id {
            self.0.lock().unwrap_or_else(PoisonError::into_inner).push((id, line.text));
        }
    }

    fn flush(&self) {}
}

/// A log line: the request ID, and the other fields with durations replaced by `N`.
#[derive(Default)]
struct Line {
    id: Option<String>,
    text: String,
}

impl VisitSource<'_> for Line {
    fn visit_pair(&mut self, key: Key<'_>, value: Value<'_>) -> Result<(), kv::Error> {
        let value = value.to_string();
        if key.as_str() == "id" {
            self.id = Some(value);
            return Ok(());
        }
        let is_time = TIMES.contains(&key.as_str()) && value.parse::<u64>().is_ok();
        let value = if is_time { "N" } else { &value };
        Ok(write!(self.text, " {key}={value}")?)
    }
}

impl Capture {
    fn lines_of(&self, id: &str) -> String {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = lines.iter().filter(|(line_id, _)| line_id == id);
        lines.fold(String::new(), |text, (_, line)| text + line.trim_start() + "\n")
    }
}

/// A request and the behaviour of the endpoints.
struct Session {
    name: &'static str,
    kind: &'static str,
    /// Behaviour of both endpoints.
    behaviour: Behaviour,
    /// Time after which the caller disconnects.
    caller_timeout: Duration,
}

const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

#[rustfmt::skip]
const SESSIONS: [Session; 9] = [
    Session { name: "served", kind: "unsafe", behaviour: Behaviour::Serve, caller_timeout: CALLER_TIMEOUT },
    Session { name: "refused by both", kind: "safe", behaviour: Behaviour::Shed, caller_timeout: CALLER_TIMEOUT },
    Session { name: "closed without an answer", kind: "unsafe", behaviour: Behaviour::Close, caller_timeout: CALLER_TIMEOUT },
    Session { name: "failed twice", kind: "safe", behaviour: Behaviour::Fail, caller_timeout: CALLER_TIMEOUT },
    Session { name: "never answered", kind: "stream", behaviour: Behaviour::NoAnswer, caller_timeout: CALLER_TIMEOUT },
    Session { name: "late", kind: "stream", behaviour: Behaviour::Slow(Duration::from_millis(400)), caller_timeout: CALLER_TIMEOUT },
    Session { name: "closed mid-stream", kind: "stream", behaviour: Behaviour::Cut, caller_timeout: CALLER_TIMEOUT },
    Session { name: "closed mid-stream by every endpoint", kind: "resumable", behaviour: Behaviour::Cut, caller_timeout: CALLER_TIMEOUT },
    Session { name: "canceled by the caller", kind: "stream", behaviour: Behaviour::NoAnswer, caller_timeout: Duration::from_millis(300) },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_decision_about_a_request_has_its_line() {
    log::set_logger(&LINES).expect("no other test in this process installs a logger");
    log::set_max_level(LevelFilter::Info);
    let mut text = String::new();
    for (n, session) in SESSIONS.iter().enumerate() {
        let mut cluster = Cluster::start(2, 2).await;
        for replica in cluster.models.iter().chain(&cluster.desks) {
            replica.plan(&[session.behaviour; 8]);
        }
        let id = format!("session-{n}");
        let mut req = cluster.request(session.kind);
        req.headers.insert("x-request-id", id.parse().expect("a field value"));
        // The response is checked by other tests.
        let _ = tokio::time::timeout(session.caller_timeout, cluster.send(req)).await;
        cluster
            .wait_until("the end of the request is logged", async |_| {
                LINES.lines_of(&id).contains("event=request ")
            })
            .await;
        // On a busy machine any response may be late; only the slow session must be.
        let lines = match session.behaviour {
            Behaviour::Slow(_) => LINES.lines_of(&id),
            _ => LINES.lines_of(&id).replace("late=true", "late=false"),
        };
        writeln!(text, "# {}, {}\n{lines}", session.kind, session.name)
            .expect("writing to a string");
    }
    insta::assert_snapshot!(text);
}
