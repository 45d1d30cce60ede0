use crate::{Deployment, EndpointRpcClient, ForwardPeerRpcClient, PeerRpcClient};
use serde::{Deserialize, Serialize};
use std::{future::Future, io, net::SocketAddr, time::Duration};
use tarpc::{
    ClientMessage, Response, client,
    server::BaseChannel,
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Maximum size of one RPC message, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of requests awaiting a reply on one connection.
const MAX_IN_FLIGHT: usize = 4_096;

/// Failure to connect to another process of the deployment.
#[derive(Debug, Error)]
pub enum RpcError {
    /// The connection or its handshake failed, so no request was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

async fn connect_stream(
    address: SocketAddr,
    deployment: Deployment,
    limit: Duration,
) -> Result<TcpStream, RpcError> {
    let connect = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        deployment.initiate_handshake(&mut stream).await?;
        Ok(stream)
    };
    timeout(limit, connect)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(|source| RpcError::Connect { address, source })
}

fn client_config() -> client::Config {
    let mut cfg = client::Config::default();
    cfg.max_in_flight_requests = MAX_IN_FLIGHT;
    cfg
}

/// Transport of the client side of a connection, by its request and response messages.
type ClientTransport<Req, Resp> = tarpc::serde_transport::Transport<
    TcpStream,
    Response<Resp>,
    ClientMessage<Req>,
    Bincode<Response<Resp>, ClientMessage<Req>>,
>;

async fn connect<Req, Resp, C>(
    address: SocketAddr,
    deployment: Deployment,
    limit: Duration,
    client: impl FnOnce(ClientTransport<Req, Resp>) -> C,
) -> Result<C, RpcError>
where
    Req: Serialize,
    Resp: for<'de> Deserialize<'de>,
{
    let stream = connect_stream(address, deployment, limit).await?;
    Ok(client(tarpc::serde_transport::new(framed(stream), Bincode::default())))
}

/// Connects to the [`EndpointRpc`](crate::EndpointRpc) service of a daemon within `limit`.
///
/// # Errors
/// [`RpcError::Connect`] proves that no request was sent.
pub async fn connect_endpoint(
    address: SocketAddr,
    deployment: Deployment,
    limit: Duration,
) -> Result<EndpointRpcClient, RpcError> {
    let client = |transport| EndpointRpcClient::new(client_config(), transport).spawn();
    connect(address, deployment, limit, client).await
}

/// Connects to the [`PeerRpc`](crate::PeerRpc) service of a daemon within `limit`.
///
/// # Errors
/// [`RpcError::Connect`] proves that no request was sent.
pub async fn connect_peer(
    address: SocketAddr,
    deployment: Deployment,
    limit: Duration,
) -> Result<PeerRpcClient, RpcError> {
    let client = |transport| PeerRpcClient::new(client_config(), transport).spawn();
    connect(address, deployment, limit, client).await
}

/// Connects to the [`ForwardPeerRpc`](crate::ForwardPeerRpc) service of a daemon within `limit`.
///
/// # Errors
/// [`RpcError::Connect`] proves that no request was sent.
pub async fn connect_forward_peer(
    address: SocketAddr,
    deployment: Deployment,
    limit: Duration,
) -> Result<ForwardPeerRpcClient, RpcError> {
    let client = |transport| ForwardPeerRpcClient::new(client_config(), transport).spawn();
    connect(address, deployment, limit, client).await
}

/// Creates the server side of a connection; run it with the `serve()` form of a service.
pub fn server_channel<Req, Resp>(stream: TcpStream) -> ServerChannel<Req, Resp>
where
    Req: for<'de> Deserialize<'de> + Send,
    Resp: Serialize + Send,
{
    BaseChannel::with_defaults(tarpc::serde_transport::new(framed(stream), Bincode::default()))
}

/// Server side of a connection, by its request and response messages.
pub type ServerChannel<Req, Resp> = BaseChannel<
    Req,
    Resp,
    tarpc::serde_transport::Transport<
        TcpStream,
        ClientMessage<Req>,
        Response<Resp>,
        Bincode<ClientMessage<Req>, Response<Resp>>,
    >,
>;

/// Delay after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the future is dropped and runs `serve` on a task of its own for each
/// one that completes the deployment handshake.
pub async fn accept_loop<F>(
    listener: TcpListener,
    deployment: Deployment,
    serve: impl Fn(TcpStream) -> F + Clone + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((mut stream, _)) => {
                // A failure is ignored: without TCP_NODELAY small replies are only delayed.
                let _ = stream.set_nodelay(true);
                let serve = serve.clone();
                tokio::spawn(async move {
                    if deployment.accept_handshake(&mut stream).await.is_ok() {
                        serve(stream).await;
                    }
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
