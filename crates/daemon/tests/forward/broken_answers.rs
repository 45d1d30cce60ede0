//! Every framing of an answer against every point at which it can stop and every way in which its
//! connection can end.

use super::support::{Cluster, FIRST_EVENT};
use cassiagw_platform_standins::{
    AnswerFraming, Behaviour::Broken, BreakPoint, BrokenAnswer, ConnectionEnd, EVENTS, KINDS,
    Replica,
};
use futures::{StreamExt, future, stream};
use hyper::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Cases that are played at the same time.
const CONCURRENT: usize = 24;

#[derive(Clone, Copy, Debug)]
struct Case {
    kind: &'static str,
    /// Whether the stream has begun at another replica.
    is_resumed: bool,
    answer: BrokenAnswer,
}

impl Case {
    fn all() -> impl Iterator<Item = Self> {
        let kinds = KINDS.map(|kind| (kind, false)).into_iter().chain([("resumable", true)]);
        kinds.flat_map(|(kind, is_resumed)| {
            answers().map(move |answer| Self { kind, is_resumed, answer })
        })
    }

    fn is_stream(self) -> bool {
        !matches!(self.kind, "safe" | "unsafe")
    }

    /// Whether the answer is a complete one for whoever reads it: the protocol has no sign of a
    /// break. A process that lives may end its answer with the connection, and only streams have
    /// a point inside of which they cannot end.
    fn is_complete_by_protocol(self) -> bool {
        let BrokenAnswer { framing, at, end } = self.answer;
        if !framing.ends_with_connection() {
            return !self.is_stream() && at == BreakPoint::InLastEvent;
        }
        let is_closed = matches!(end, ConnectionEnd::Close | ConnectionEnd::HalfClose);
        let is_between_events = at == BreakPoint::BetweenEvents;
        let is_after_head = !matches!(at, BreakPoint::BeforeHead | BreakPoint::InHead);
        is_closed && if self.is_stream() { is_between_events } else { is_after_head }
    }

    /// Whether the caller must get the whole answer.
    fn is_owed(self) -> bool {
        let BrokenAnswer { framing, at, end } = self.answer;
        let is_whole = at == BreakPoint::AfterBody && framing != AnswerFraming::UnequalLengths;
        is_whole && matches!(end, ConnectionEnd::Close | ConnectionEnd::HalfClose)
    }

    fn whole_body(self, id: &str) -> String {
        match self.is_stream() {
            true => (1..=EVENTS).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect(),
            false => format!("served {id} with 300 bytes"),
        }
    }

    /// Plays the case and returns what was wrong.
    async fn violation(self) -> Option<String> {
        let mut cluster = Cluster::start(2, 2).await;
        let replicas = if self.is_stream() { &cluster.models } else { &cluster.desks };
        let broken = Broken(self.answer);
        match self.is_resumed {
            true => Replica::plan_shared(replicas, &[Broken(FIRST_EVENT), broken]),
            false => Replica::plan_shared(replicas, &[broken]),
        }
        let req = cluster.request(self.kind);
        let id = req.headers["x-request-id"].to_str().expect("text").to_owned();
        let answer = cluster.send(req).await;
        let max_runs = if matches!(self.kind, "safe" | "resumable") { 2 } else { 1 };
        if cluster.runs(&id) > max_runs {
            return Some(format!("{self:?}: runs too often"));
        }
        let Ok(answer) = answer else {
            return self.is_owed().then(|| format!("{self:?}: broken off"));
        };
        let body = String::from_utf8_lossy(&answer.body);
        let is_whole = answer.status == StatusCode::OK && body == self.whole_body(&id);
        if self.is_owed() && !is_whole {
            return Some(format!("{self:?}: {} {body:?}", answer.status));
        }
        let looks_whole = answer.status.is_success() && !self.is_complete_by_protocol();
        (looks_whole && !is_whole).then(|| format!("{self:?}: looks complete: {body:?}"))
    }
}

fn answers() -> impl Iterator<Item = BrokenAnswer> {
    AnswerFraming::ALL.into_iter().flat_map(|framing| {
        BreakPoint::ALL.into_iter().flat_map(move |at| {
            ConnectionEnd::ALL.into_iter().map(move |end| BrokenAnswer { framing, at, end })
        })
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_broken_answer_never_looks_complete() {
    let violations: Vec<String> = stream::iter(Case::all())
        .map(Case::violation)
        .buffer_unordered(CONCURRENT)
        .filter_map(future::ready)
        .collect()
        .await;
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// A caller of HTTP/1.0 reads an answer without length to the end of the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_broken_stream_never_looks_complete_to_a_caller_without_chunks() {
    struct Case {
        answer: BrokenAnswer,
        status: &'static str,
    }
    let whole = BrokenAnswer {
        at: BreakPoint::AfterBody,
        end: ConnectionEnd::Close,
        framing: AnswerFraming::Chunked,
    };
    let cases = [
        Case { answer: whole, status: "200" },
        Case { answer: FIRST_EVENT, status: "502" },
        Case { answer: BrokenAnswer { at: BreakPoint::InLastEvent, ..whole }, status: "502" },
        Case { answer: BrokenAnswer { at: BreakPoint::InEvent, ..whole }, status: "502" },
    ];
    for Case { answer, status } in cases {
        let mut cluster = Cluster::start(1, 1).await;
        cluster.models[0].plan(&[Broken(answer)]);
        let got = send_without_chunks(&mut cluster, "stream").await;
        assert_eq!(got.split(' ').nth(1), Some(status), "{answer:?}: {got}");
        let is_whole = (1..=EVENTS).all(|n| got.contains(&format!("token {n}\n")));
        assert_eq!(is_whole, status == "200", "{answer:?}: {got}");
    }
}

async fn send_without_chunks(cluster: &mut Cluster, kind: &str) -> String {
    let req = cluster.request(kind);
    let fields = req
        .headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().expect("text")));
    let fields: String = fields.collect();
    let head = format!("{} {} HTTP/1.0\r\n{fields}Content-Length: 0\r\n\r\n", req.method, req.path);
    let mut stream =
        TcpStream::connect(cluster.daemons[0].callers).await.expect("the daemon listens");
    stream.write_all(head.as_bytes()).await.expect("the daemon reads the request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer that ends");
    answer
}
