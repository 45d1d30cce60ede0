//! Streams that break off while replicas of two software versions serve side by side.

use super::support::{Cluster, FIRST_EVENT, is_complete};
use cassiagw_platform_standins::{
    Behaviour::{Broken, Shed},
    Replica,
};
use cassiagw_surfaces::http::HttpRequest;
use hyper::header::{HeaderName, HeaderValue};
use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

const STREAMS: usize = 20;
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Two replicas of each of two versions, which all daemons know of.
async fn mixed_cluster() -> Cluster {
    let cluster = Cluster::start(4, 0).await;
    set_versions(&cluster, &["v1", "v1", "v2", "v2"]);
    let is_announced = async |c: &Cluster| !announcements(c).is_empty();
    cluster.wait_until("both versions are announced", is_announced).await;
    cluster
}

fn set_versions(cluster: &Cluster, versions: &[&str]) {
    for (replica, version) in cluster.models.iter().zip(versions) {
        replica.set_software(version, None);
    }
    cluster.list("ready");
}

fn announcements(cluster: &Cluster) -> Vec<String> {
    cluster.store.keys("cassiagw/stream-versions/")
}

/// Numbers of the replicas that ran the request with this ID.
fn ran_at(cluster: &Cluster, id: &str) -> Vec<usize> {
    let has_run = |replica: &Replica| {
        replica.seen().iter().any(|req| req.has_run && req.headers["x-request-id"] == id)
    };
    let replicas = cluster.models.iter().enumerate();
    replicas.filter(|(_, replica)| has_run(replica)).map(|(number, _)| number).collect()
}

fn is_v1(replica: usize) -> bool {
    replica < 2
}

fn id_of(req: &HttpRequest) -> String {
    req.headers["x-request-id"].to_str().expect("text").to_owned()
}

/// A request that goes on after the first event of the stream that the request `began` has begun.
fn resume(cluster: &mut Cluster, began: &str) -> HttpRequest {
    let resumes = HeaderValue::try_from(began).expect("a field value");
    let req = cluster.request("resumable");
    req.with_header(RESUMES, resumes).with_header(LAST_EVENT_ID, HeaderValue::from_static("1"))
}

/// Begins a stream at the first daemon and takes it up at the last one, once that can know its
/// version. Returns the replicas that ran the two requests.
async fn begin_and_resume(cluster: &mut Cluster) -> (Vec<usize>, Vec<usize>) {
    let (began, first) = cluster.answer("resumable").await;
    assert_eq!(first.map(|(status, _)| status), Some(200));
    let last = cluster.daemons.last().expect("a daemon").callers;
    let began_at = ran_at(cluster, &began);
    loop {
        // Another replica has to go on with the stream.
        cluster.models[began_at[0]].plan(&[Shed]);
        let req = resume(cluster, &began);
        let id = id_of(&req);
        let answer = cluster.client.call(last, req).await.expect("an answer");
        let went_on = ran_at(cluster, &id);
        match answer.status.as_u16() {
            503 => assert!(went_on.is_empty(), "{went_on:?}"),
            status => {
                assert_eq!(status, 200);
                return (began_at, went_on);
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_never_joins_events_of_two_versions() {
    let mut cluster = mixed_cluster().await;
    for _ in 0..STREAMS {
        Replica::plan_shared(&cluster.models, &[Broken(FIRST_EVENT)]);
        let (id, got) = cluster.answer("resumable").await;
        let ran_at = ran_at(&cluster, &id);
        let is_of_one = ran_at.iter().all(|replica| is_v1(*replica) == is_v1(ran_at[0]));
        assert!(is_of_one, "{id} ran at {ran_at:?}");
        assert!(
            got.as_ref().is_some_and(|(_, body)| is_complete("resumable", &id, body)),
            "{got:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_is_taken_up_at_another_daemon_only_at_its_version() {
    let mut cluster = mixed_cluster().await;
    let seeds = [cluster.daemons[0].peer];
    for _ in 0..2 {
        cluster.add_daemon(&seeds).await;
    }
    let are_members = async |c: &Cluster| {
        let dumps = [c.dump(0).await, c.dump(1).await, c.dump(2).await];
        dumps.iter().all(|dump| dump["members"].as_array().is_some_and(|m| m.len() == 2))
    };
    cluster.wait_until("all daemons know each other", are_members).await;
    for _ in 0..STREAMS {
        let (began, went_on) = begin_and_resume(&mut cluster).await;
        assert_eq!(is_v1(began[0]), is_v1(went_on[0]), "{began:?}, {went_on:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_of_an_unknown_version_is_refused_after_all_daemons_ended() {
    struct Case {
        name: &'static str,
        /// Whether replicas of the older version are still listed when the daemons come back.
        has_old: bool,
    }
    let cases =
        [Case { name: "both serve", has_old: true }, Case { name: "one has left", has_old: false }];
    for Case { name, has_old } in cases {
        let mut cluster = mixed_cluster().await;
        let (began, _) = cluster.answer("resumable").await;
        cluster.daemons.clear();
        if !has_old {
            cluster.store.unlist("m0");
            cluster.store.unlist("m1");
        }
        cluster.add_daemon(&[]).await;
        let req = resume(&mut cluster, &began);
        let id = id_of(&req);
        assert_eq!(cluster.send(req).await.expect("an answer").status, 503, "{name}");
        assert!(ran_at(&cluster, &id).is_empty(), "{name}");
        assert_eq!(cluster.status("resumable").await, 200, "{name}: new streams begin");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn with_a_single_version_streams_are_taken_up_also_after_all_daemons_ended() {
    let mut cluster = Cluster::start(2, 0).await;
    let (began, _) = cluster.answer("resumable").await;
    cluster.daemons.clear();
    cluster.add_daemon(&[]).await;
    let req = resume(&mut cluster, &began);
    assert_eq!(cluster.send(req).await.expect("an answer").status, 200);
    assert!(announcements(&cluster).is_empty());
}

/// Guards against a paused daemon taking the older version, the only one it knows, for the only one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_paused_daemon_resumes_no_stream_at_another_version() {
    const STILL: Duration = Duration::from_secs(2);
    let mut cluster = Cluster::start(4, 0).await;
    set_versions(&cluster, &["v1"; 4]);
    let seeds = [cluster.daemons[0].peer];
    cluster.add_daemon_with_runtime(&seeds).await;
    let are_members = async |c: &Cluster| c.store.members() == 2;
    cluster.wait_until("both are members", are_members).await;
    assert_eq!(cluster.status("resumable").await, 200);

    cluster.daemons[1].freeze(STILL);
    sleep(STILL / 10).await;
    set_versions(&cluster, &["v1", "v2", "v2", "v2"]);
    let joined = async |c: &Cluster| c.endpoint(0, "m3").await["version"] == "v2";
    cluster.wait_until("the first daemon knows the new version", joined).await;
    let mut resumed = JoinSet::new();
    for _ in 0..STREAMS {
        let (began, _) = cluster.answer("resumable").await;
        let req = resume(&mut cluster, &began);
        let id = id_of(&req);
        let (client, callers) = (cluster.client.clone(), cluster.daemons[1].callers);
        resumed.spawn(async move { (began, id, client.call(callers, req).await.is_ok()) });
    }
    while let Some(done) = resumed.join_next().await {
        let (began, went_on, is_answered) = done.expect("no panic");
        assert!(is_answered);
        let (began, went_on) = (ran_at(&cluster, &began), ran_at(&cluster, &went_on));
        let fits =
            went_on.iter().all(|replica| is_the_last_v1(*replica) == is_the_last_v1(began[0]));
        assert!(fits, "began at {began:?}, went on at {went_on:?}");
    }
}

/// Whether a replica is of the older version once a new version has most of the replicas.
fn is_the_last_v1(replica: usize) -> bool {
    replica == 0
}
