//! Metrics about requests.

use super::support::Cluster;
use cassiagw_platform_standins::Behaviour;
use cassiagw_surfaces::http::HttpRequest;
use hyper::Method;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn metrics_are_served_without_keys() {
    let mut cluster = Cluster::start(1, 2).await;
    cluster.desks.iter().for_each(|desk| desk.plan(&[Behaviour::Shed]));
    assert_eq!(cluster.status("safe").await, 503, "both replicas refuse one request");
    while cluster.status("stream").await != 200 {}
    let req = HttpRequest::new(Method::GET, "/metrics");
    let answer = cluster.client.call(cluster.daemons[0].admin, req).await.expect("a response");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    #[rustfmt::skip]
    let lines = [
        "cassiagw_forward_requests_total{kind=\"safe\",outcome=\"not_run\"",
        "cassiagw_forward_faults_total{fault=\"not_executed\"",
        "cassiagw_forward_after_faults_total{next=\"sent_elsewhere\"",
        "cassiagw_forward_connections_total{",
        "cassiagw_forward_first_byte_seconds_bucket{kind=\"stream\"",
        "cassiagw_forward_whole_seconds_bucket{kind=\"stream\"",
        "cassiagw_forward_settings_version",
        "cassiagw_forward_store_age_seconds",
        "cassiagw_forward_queued_requests",
        "cassiagw_forward_members",
        "cassiagw_store_calls_total{",
    ];
    for line in lines {
        assert!(text.lines().any(|known| known.starts_with(line)), "{line} is missing in\n{text}");
    }
    assert!(!text.contains("key-1"));
}
