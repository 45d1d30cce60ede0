//! Requests that are refused before their body is read to its end: the caller gets the answer, the
//! connection closes, and no replica sees the request.

use super::support::Cluster;
use cassiagw_platform_standins::{Behaviour, SettingsDocument};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Longest wait of a test; the answers come far sooner.
const PATIENCE: Duration = Duration::from_secs(30);
/// Size of the bodies, within the limits.
const BODY: usize = 4_000_000;
/// Largest body in the settings.
const MAX_BODY: usize = 4_194_304;

fn head(id: &str, key: &str, framing: &str) -> String {
    format!(
        "POST /unsafe/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
         Authorization: Token {key}\r\n{framing}\r\n\r\n"
    )
}

async fn start() -> Cluster {
    let cluster = Cluster::start(1, 1).await;
    let settings = SettingsDocument::new(2).with_max_body_bytes(MAX_BODY).with_timeout_ms(20_000);
    cluster.store.put_settings(&settings);
    cluster
        .wait_until("the settings are in force", async |cluster| {
            cluster.dump(0).await["settings_version"] == 2
        })
        .await;
    cluster
}

/// Sends the parts of a request and reads until the daemon closes the connection.
async fn exchange(cluster: &Cluster, parts: &[&[u8]]) -> String {
    let stream = TcpStream::connect(cluster.daemons[0].callers).await.expect("the daemon listens");
    let (mut read, mut write) = stream.into_split();
    let sending = async {
        for part in parts {
            if write.write_all(part).await.is_err() {
                break;
            }
        }
        // The sending side stays open, as that of a caller with more to send.
        write
    };
    let reading = async {
        let mut answer = Vec::new();
        let mut buf = [0; 4_096];
        while let Ok(bytes @ 1..) = read.read(&mut buf).await {
            answer.extend_from_slice(&buf[..bytes]);
        }
        String::from_utf8_lossy(&answer).into_owned()
    };
    let (answer, _write) =
        timeout(PATIENCE, async { tokio::join!(reading, sending) }).await.expect("an end");
    answer
}

/// Guards against bodies that are read without a key, kept without progress, or lose their answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_get_the_refusal_while_they_send() {
    struct Case {
        name: &'static str,
        key: &'static str,
        framing: &'static str,
        sent: usize,
        status: &'static str,
    }
    let cases = [
        Case {
            name: "unknown key",
            key: "key-9",
            framing: "Content-Length: 4000000",
            sent: 200_000,
            status: "401",
        },
        Case {
            name: "too large",
            key: "key-1",
            framing: "Content-Length: 5000000",
            sent: 200_000,
            status: "413",
        },
        Case {
            name: "stalled",
            key: "key-1",
            framing: "Content-Length: 4000000",
            sent: 3_999_990,
            status: "408",
        },
    ];
    let cluster = start().await;
    for case in cases {
        let head = head("raw-1", case.key, case.framing);
        let answer = exchange(&cluster, &[head.as_bytes(), &vec![b'x'; case.sent]]).await;
        assert_eq!(answer.split(' ').nth(1), Some(case.status), "{}: {answer}", case.name);
        assert!(answer.contains("connection: close"), "{}: {answer}", case.name);
        assert_eq!(cluster.runs("raw-1"), 0, "{}", case.name);
    }
    let dump = cluster.dump(0).await;
    assert_eq!(dump["caller_memory"]["used_bytes"]["bodies"], 0, "{dump}");
    assert_eq!(dump["caller_memory"]["events"]["body_stalled"], 1, "{dump}");
}

/// Guards against a workspace whose bodies take the memory of others, and refusals that run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_body_without_room_is_refused_and_another_workspace_is_served() {
    let cluster = start().await;
    // The daemon has 8 MiB for bodies, half of them for a workspace.
    let mut stream =
        TcpStream::connect(cluster.daemons[0].callers).await.expect("the daemon listens");
    let framing = format!("Content-Length: {BODY}");
    let first = head("first", "key-1", &framing);
    stream.write_all(first.as_bytes()).await.expect("the head is sent");
    // It keeps arriving, so that it does not count as stalled.
    let arriving = tokio::spawn(async move {
        while stream.write_all(&[b'x'; 8_192]).await.is_ok() {
            sleep(Duration::from_millis(100)).await;
        }
    });
    cluster
        .wait_until("the memory is reserved", async |cluster| {
            cluster.dump(0).await["caller_memory"]["used_bytes"]["bodies"] == BODY
        })
        .await;
    let second = head("second", "key-1", &framing);
    let answer = exchange(&cluster, &[second.as_bytes(), &vec![b'x'; 100_000]]).await;
    assert_eq!(answer.split(' ').nth(1), Some("503"), "{answer}");
    assert!(answer.contains("retry-after: 2.00"), "{answer}");
    assert_eq!(cluster.runs("second"), 0);
    let other = head("other", "key-w3", "Content-Length: 20000\r\nConnection: close");
    let answer = exchange(&cluster, &[other.as_bytes(), &vec![b'x'; 20_000]]).await;
    assert_eq!(answer.split(' ').nth(1), Some("200"), "{answer}");
    arriving.abort();
}

/// Guards against answers that are cut although their caller reads at an ordinary speed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_steady_reader_gets_its_answer_beside_callers_that_do_not_read() {
    const ANSWER: usize = 2_000_000;
    const IDLE: usize = 12;
    let cluster = start().await;
    cluster.desks[0].plan(&[Behaviour::Long(ANSWER); IDLE + 1]);
    let connect = async |id: &str| {
        let mut stream =
            TcpStream::connect(cluster.daemons[0].callers).await.expect("the daemon listens");
        let head = head(id, "key-1", "Content-Length: 0\r\nConnection: close");
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        stream
    };
    let mut steady = connect("steady").await;
    let mut first = [0; 64];
    steady.read_exact(&mut first).await.expect("the answer begins");
    let mut idle = Vec::new();
    for number in 0..IDLE {
        let mut stream = connect(&format!("idle-{number}")).await;
        // Refused callers and those that lose their connection are expected.
        let _ = timeout(PATIENCE, stream.read_exact(&mut first)).await;
        idle.push(stream);
    }
    let mut read = 64;
    let mut buf = vec![0; 32 * 1024];
    while let Ok(bytes @ 1..) = steady.read(&mut buf).await {
        read += bytes;
        sleep(Duration::from_millis(50)).await;
    }
    assert!(read > ANSWER, "{read} bytes");
    drop(idle);
}
