use std::net::SocketAddr;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// TCP proxy that simulates a network partition: while closed, open connections are dropped and new
/// ones are accepted but not forwarded.
pub struct TcpProxy {
    pub address: SocketAddr,
    is_open: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TcpProxy {
    pub async fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (is_open, gate) = watch::channel(true);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, gate.clone()));
            }
        });
        Self { address, is_open, task }
    }

    /// Drops every connection and stalls new ones without a reply, as if packets were lost.
    pub fn close(&self) {
        self.is_open.send_replace(false);
    }

    pub fn reopen(&self) {
        self.is_open.send_replace(true);
    }
}

async fn forward(mut stream: TcpStream, target: SocketAddr, mut gate: watch::Receiver<bool>) {
    if gate.wait_for(|is_open| *is_open).await.is_err() {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut upstream) => {}
        _ = gate.wait_for(|is_open| !*is_open) => {}
    }
}
