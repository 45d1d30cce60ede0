use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::{Notify, oneshot},
};

/// Fault of one message on its way to an endpoint daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireFault {
    /// The connection is closed before the message is forwarded.
    CutBefore,
    /// The message is forwarded and the connection is closed before its reply.
    CutAfter,
    /// Nothing more is forwarded on this connection, which stays open.
    Freeze,
    /// The message is held until the test resumes it.
    Pause,
}

/// Fault to inject, with a message count over all connections.
#[derive(Default)]
struct FaultPlan {
    fault: Option<(usize, WireFault)>,
    seen: usize,
    reached: Option<oneshot::Sender<()>>,
    resume: Arc<Notify>,
}

/// Fault plan shared by several proxies.
#[derive(Clone, Default)]
pub struct WireFaults(Arc<Mutex<FaultPlan>>);

impl WireFaults {
    /// Plans a fault at the message `number`, counted from 1 from now on.
    ///
    /// Returns a receiver that completes when the message is reached, and a handle that resumes a
    /// paused message.
    pub fn arm(&self, number: usize, fault: WireFault) -> (oneshot::Receiver<()>, Arc<Notify>) {
        let (tx, rx) = oneshot::channel();
        let resume = Arc::new(Notify::new());
        *self.0.lock().expect("lock is not poisoned") = FaultPlan {
            fault: Some((number, fault)),
            seen: 0,
            reached: Some(tx),
            resume: resume.clone(),
        };
        (rx, resume)
    }

    fn next(&self) -> Option<(WireFault, Arc<Notify>)> {
        let mut plan = self.0.lock().expect("lock is not poisoned");
        plan.seen += 1;
        let (number, fault) = plan.fault?;
        if plan.seen != number {
            return None;
        }
        if let Some(reached) = plan.reached.take() {
            let _ = reached.send(());
        }
        Some((fault, plan.resume.clone()))
    }
}

/// Address to which a proxy forwards new connections; may be changed while it runs.
pub type Upstream = Arc<Mutex<SocketAddr>>;

/// Starts a proxy for an endpoint daemon and returns its address.
pub async fn spawn(upstream: Upstream, plan: WireFaults) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binding to a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let upstream = *upstream.lock().expect("lock is not poisoned");
            tokio::spawn(serve(client, upstream, plan.clone()));
        }
    });
    address
}

async fn serve(client: TcpStream, upstream: SocketAddr, plan: WireFaults) {
    let Ok(server) = TcpStream::connect(upstream).await else { return };
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let replies = tokio::spawn(pass_replies(server_rx, client_tx));
    pass_requests(client_rx, server_tx, plan, &replies).await;
    replies.abort();
}

async fn pass_replies(mut server: OwnedReadHalf, mut client: OwnedWriteHalf) {
    let _ = copy(&mut server, &mut client).await;
}

async fn pass_requests(
    mut client: OwnedReadHalf,
    mut server: OwnedWriteHalf,
    plan: WireFaults,
    replies: &tokio::task::JoinHandle<()>,
) {
    // The first frame is the handshake, which does not count as a message.
    let Some(handshake) = read_frame(&mut client).await else { return };
    if server.write_all(&handshake).await.is_err() {
        return;
    }
    while let Some(frame) = read_frame(&mut client).await {
        match plan.next() {
            Some((WireFault::CutBefore, _)) => return,
            Some((WireFault::CutAfter, _)) => {
                replies.abort();
                let _ = server.write_all(&frame).await;
                // The daemon reads the message before it sees the end of the stream.
                let _ = server.shutdown().await;
                return;
            }
            Some((WireFault::Freeze, _)) => {
                replies.abort();
                return std::future::pending().await;
            }
            Some((WireFault::Pause, resume)) => resume.notified().await,
            None => {}
        }
        if server.write_all(&frame).await.is_err() {
            return;
        }
    }
}

/// Reads one frame including its length prefix; `None` at the end of the connection.
async fn read_frame(client: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let mut head = [0; 4];
    client.read_exact(&mut head).await.ok()?;
    let mut frame = head.to_vec();
    frame.resize(4 + u32::from_be_bytes(head) as usize, 0);
    client.read_exact(&mut frame[4..]).await.ok()?;
    Some(frame)
}
