//! Endpoints that say in their answers how long work takes on their hosts.

use super::support::Cluster;
use cassiagw_surfaces::http::HttpRequest;
use hyper::Method;

/// Guards against figures that are not decoded, or not shown to operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn work_times_are_known_and_shown() {
    let mut cluster = Cluster::start(1, 1).await;
    for figure in ["0", "4e9", "-250", "x"] {
        cluster.desks[0].set_work_time(Some(figure));
        assert_eq!(cluster.status("safe").await, 200, "{figure}");
        let percent = cluster.endpoint(0, "d0").await["work_time_percent"].clone();
        assert!(percent.is_null(), "{figure} is used as {percent}");
    }
    cluster.desks[0].set_work_time(Some("250"));
    let is_shown = async |c: &Cluster| {
        let percent = c.endpoint(0, "d0").await["work_time_percent"].clone();
        percent == 250.0
    };
    while !is_shown(&cluster).await {
        assert_eq!(cluster.status("safe").await, 200);
    }
    let req = HttpRequest::new(Method::GET, "/metrics");
    let answer = cluster.client.call(cluster.daemons[0].admin, req).await.expect("a response");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = [
        "cassiagw_forward_work_times_total{used=\"true\"",
        "cassiagw_forward_work_times_total{used=\"false\"",
        "cassiagw_forward_known_work_times",
    ];
    for line in lines {
        assert!(text.lines().any(|known| known.starts_with(line)), "{line} is missing in\n{text}");
    }
}
