//! Malformed or malicious requests: each gets an error status and none reaches a replica.

use super::support::Cluster;
use cassiagw_core::forwarding::{CacheSharing, dedicated_scope};
use cassiagw_platform_standins::Replica;
use hyper::header::HeaderName;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const HEAD: &str = "Host: site.example\r\nX-Request-Id: raw-1\r\nAuthorization: Token key-1\r\n";

async fn send_raw(cluster: &Cluster, request: &str) -> String {
    let mut stream =
        TcpStream::connect(cluster.daemons[0].callers).await.expect("the daemon listens");
    stream.write_all(request.as_bytes()).await.expect("the daemon reads the request");
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    // A kept-alive connection does not end, so reading stops once no more data arrives.
    while let Ok(Ok(n @ 1..)) = timeout(Duration::from_millis(400), stream.read(&mut buf)).await {
        answer.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn request_count(cluster: &Cluster) -> usize {
    cluster.desks.iter().chain(&cluster.models).map(|replica: &Replica| replica.seen().len()).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_requests_reach_no_replica() {
    struct Case {
        name: &'static str,
        request: String,
        status: &'static str,
    }
    let post = |path: &str, fields: &str, body: &str| {
        format!("POST {path} HTTP/1.1\r\n{HEAD}{fields}\r\n{body}")
    };
    let many = (0..200).map(|n| format!("X-F{n}: 1\r\n")).collect::<String>();
    let without = |field: &str| {
        let kept: String =
            HEAD.split_inclusive("\r\n").filter(|line| !line.starts_with(field)).collect();
        format!("POST /unsafe/1 HTTP/1.1\r\n{kept}Content-Length: 0\r\n\r\n")
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "two content lengths", request: post("/unsafe/1", "Content-Length: 3\r\nContent-Length: 5\r\n", "abcde"), status: "400" },
        Case { name: "unsupported transfer encoding", request: post("/unsafe/1", "Transfer-Encoding: gzip\r\n", ""), status: "400" },
        Case { name: "bad chunk", request: post("/unsafe/1", "Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"), status: "400" },
        Case { name: "no request ID", request: without("X-Request-Id"), status: "400" },
        Case { name: "no host", request: without("Host"), status: "400" },
        Case { name: "two hosts", request: post("/unsafe/1", "Host: other.example\r\nContent-Length: 0\r\n", ""), status: "400" },
        Case { name: "two request IDs", request: post("/unsafe/1", "X-Request-Id: raw-2\r\nContent-Length: 0\r\n", ""), status: "400" },
        Case { name: "invalid deadline", request: post("/unsafe/1", "X-Deadline-Ms: never\r\nContent-Length: 0\r\n", ""), status: "400" },
        Case { name: "no key", request: without("Authorization"), status: "401" },
        Case { name: "unknown key", request: post("/unsafe/1", "Content-Length: 0\r\n", "").replace("key-1", "key-9"), status: "401" },
        Case { name: "unknown path", request: post("/other/1", "Content-Length: 0\r\n", ""), status: "404" },
        Case { name: "unknown host", request: post("/unsafe/1", "Content-Length: 0\r\n", "").replace("site.", "sites."), status: "404" },
        Case { name: "body too large", request: post("/unsafe/1", "Content-Length: 100001\r\n", ""), status: "413" },
        Case { name: "too many header fields", request: post("/unsafe/1", &many, ""), status: "431" },
        Case { name: "not HTTP", request: "\u{0}\u{1}nothing\r\n\r\n".to_owned(), status: "400" },
    ];
    let cluster = Cluster::start(1, 1).await;
    for case in cases {
        let answer = send_raw(&cluster, &case.request).await;
        let status = answer.split(' ').nth(1).unwrap_or_default();
        assert_eq!(status, case.status, "{}: {answer}", case.name);
        assert_eq!(request_count(&cluster), 0, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_inside_a_body_is_not_executed() {
    let cluster = Cluster::start(1, 1).await;
    let inner = format!("POST /unsafe/2 HTTP/1.1\r\n{HEAD}Content-Length: 0\r\n\r\n");
    let length = format!("Content-Length: {}\r\n\r\n", inner.len());
    let answer =
        send_raw(&cluster, &format!("POST /unsafe/1 HTTP/1.1\r\n{HEAD}{length}{inner}")).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let seen = cluster.desks[0].seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].body, inner.as_bytes());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn chunked_encoding_overrides_content_length() {
    let cluster = Cluster::start(1, 1).await;
    let inner = format!("POST /unsafe/2 HTTP/1.1\r\n{HEAD}Content-Length: 0\r\n\r\n");
    let fields = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n";
    let request = format!(
        "POST /unsafe/1 HTTP/1.1\r\n{HEAD}{fields}\r\n{:x}\r\n{inner}\r\n0\r\n\r\n",
        inner.len()
    );
    let answer = send_raw(&cluster, &request).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let seen = cluster.desks[0].seen();
    assert_eq!(seen.len(), 1, "the inner request is forwarded as a body with a Content-Length");
    assert_eq!(seen[0].body, inner.as_bytes());
    assert!(!seen[0].headers.contains_key("transfer-encoding"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn forged_internal_fields_are_replaced() {
    let mut cluster = Cluster::start(1, 1).await;
    let mut req = cluster.request("stream");
    let forged =
        ["x-tenant", "x-cache-salt", "x-expect-replica", "x-hold", "kv-from", "x-kv-source"];
    for name in forged {
        req = req.with_header(HeaderName::from_static(name), "forged".try_into().expect("text"));
    }
    let answer = cluster.send(req).await.expect("a response");
    assert_eq!(answer.status, 200);
    let seen = cluster.models[0].seen();
    let field = |name: &str| seen[0].headers.get(name).map(String::as_str);
    assert_eq!(field("x-tenant"), Some("w1"));
    assert_eq!(field("x-expect-replica"), Some("m0"));
    assert_eq!(field("x-expect-version"), Some("1"));
    let sharing = CacheSharing::new(["w2".into()]);
    assert_eq!(field("x-cache-salt"), Some(&*sharing.shared_scope("m", 1)));
    assert_eq!((field("authorization"), field("x-hold"), field("kv-from")), (None, None, None));
    assert!(seen[0].line.starts_with("POST /stream/thing?q=1 "));
    let left: u64 = field("x-deadline-ms").and_then(|ms| ms.parse().ok()).expect("a number");
    assert!(left <= 2_000, "the time left is limited by the route's timeout");
    let mut req = cluster.request("stream");
    req = req.with_header(hyper::header::AUTHORIZATION, "Token key-2".try_into().expect("text"));
    cluster.send(req).await.expect("a response");
    let scope = cluster.models[0].seen()[1].headers.get("x-cache-salt").cloned();
    assert_eq!(
        scope.as_deref(),
        Some(&*dedicated_scope("m", 1, "w2")),
        "a dedicated workspace has a cache scope of its own"
    );
}
