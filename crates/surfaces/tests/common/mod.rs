//! Helpers for the client tests.

use std::{future::pending, net::SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Starts a server that sends `bytes` on each connection after the first read of the request, then
/// closes the connection or, if `closes` is false, keeps it open without sending more.
pub async fn serve(bytes: &'static str, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binding a loopback port");
    let address = listener.local_addr().expect("address of the bound listener");
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
