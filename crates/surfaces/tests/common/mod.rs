//! Helpers shared by the tests of the clients.

use std::{future::pending, net::SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a server that sends these bytes on each connection once a request has begun to arrive;
/// then it closes the connection, or stays silent.
pub async fn serve(bytes: &'static str, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await;
                let _ = stream.write_all(bytes.as_bytes()).await;
                if !closes {
                    pending::<()>().await;
                }
            });
        }
    });
    address
}
