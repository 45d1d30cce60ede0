use super::limited_stream::{LimitedStream, Progress};
use futures::future::BoxFuture;
use hyper::Uri;
use hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo};
use std::task::{Context, Poll};
use tower_service::Service;

/// Opens connections that fail when the server sends bytes without end.
#[derive(Clone, Debug)]
pub struct LimitedConnector {
    inner: HttpConnector,
    max_bytes: usize,
}

impl LimitedConnector {
    /// Wraps a connector; at most `max_bytes` are read from a connection without progress.
    pub fn new(inner: HttpConnector, max_bytes: usize) -> Self {
        Self { inner, max_bytes }
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = TokioIo<LimitedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let max_bytes = self.max_bytes;
        let connecting = self.inner.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let stream = LimitedStream::new(stream, Progress::default(), max_bytes);
            Ok(TokioIo::new(stream))
        })
    }
}
