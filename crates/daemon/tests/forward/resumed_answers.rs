//! Answers to requests that resume a stream.

use super::support::{Cluster, FIRST_EVENT, is_complete};
use cassiagw_platform_standins::{
    BadResume,
    Behaviour::{BadResume as Resumed, Broken},
    Replica,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_never_goes_on_with_an_answer_that_does_not_continue_it() {
    for answer in BadResume::ALL {
        let mut cluster = Cluster::start(2, 1).await;
        Replica::plan_shared(&cluster.models, &[Broken(FIRST_EVENT), Resumed(answer)]);
        let (id, got) = cluster.answer("resumable").await;
        let is_whole = got.as_ref().is_none_or(|(_, body)| is_complete("resumable", &id, body));
        assert!(is_whole, "{answer:?}: {got:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_broken_stream_goes_on_where_it_stopped() {
    let mut cluster = Cluster::start(2, 1).await;
    Replica::plan_shared(&cluster.models, &[Broken(FIRST_EVENT)]);
    let (id, got) = cluster.answer("resumable").await;
    assert!(got.as_ref().is_some_and(|(_, body)| is_complete("resumable", &id, body)), "{got:?}");
}
