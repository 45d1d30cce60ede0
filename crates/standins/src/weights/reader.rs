use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use std::{io, net::SocketAddr};

/// Downloads a weight version and returns its size in bytes.
///
/// # Errors
/// Fails if the store is unreachable, does not have the version or closes the connection early.
pub async fn read_weights(store: SocketAddr, model: &str, version: &str) -> io::Result<usize> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{store}/weights/{model}/{version}");
    let uri = uri.parse().map_err(io::Error::other)?;
    let response = client.get(uri).await.map_err(io::Error::other)?;
    if !response.status().is_success() {
        return Err(io::Error::other(response.status().to_string()));
    }
    let body = response.into_body().collect().await.map_err(io::Error::other)?;
    Ok(body.to_bytes().len())
}
