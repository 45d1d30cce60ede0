//! Answers to requests that resume a stream.

use super::support::{Cluster, is_complete};
use cassiagw_platform_standins::{
    AnswerFraming, BadResume,
    Behaviour::{self, BadResume as Resumed, Broken},
    BreakPoint, BrokenAnswer, ConnectionEnd, Replica,
};

/// A stream that breaks off after its first event.
const FIRST_EVENT: Behaviour = Broken(BrokenAnswer {
    framing: AnswerFraming::Chunked,
    at: BreakPoint::BetweenEvents,
    end: ConnectionEnd::Reset,
});

/// What a caller got: status and body, `None` if the answer broke off.
async fn send(cluster: &mut Cluster, kind: &str) -> (String, Option<(u16, String)>) {
    let req = cluster.request(kind);
    let id = req.headers["x-request-id"].to_str().expect("text").to_owned();
    let answer = cluster.send(req).await.ok();
    let answer = answer
        .map(|answer| (answer.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned()));
    (id, answer)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_never_goes_on_with_an_answer_that_does_not_continue_it() {
    for answer in BadResume::ALL {
        let mut cluster = Cluster::start(2, 1).await;
        Replica::plan_shared(&cluster.models, &[FIRST_EVENT, Resumed(answer)]);
        let (id, got) = send(&mut cluster, "resumable").await;
        let is_whole = got.as_ref().is_none_or(|(_, body)| is_complete("resumable", &id, body));
        assert!(is_whole, "{answer:?}: {got:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_broken_stream_goes_on_where_it_stopped() {
    let mut cluster = Cluster::start(2, 1).await;
    Replica::plan_shared(&cluster.models, &[FIRST_EVENT]);
    let (id, got) = send(&mut cluster, "resumable").await;
    assert!(got.as_ref().is_some_and(|(_, body)| is_complete("resumable", &id, body)), "{got:?}");
}
