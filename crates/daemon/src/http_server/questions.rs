use super::accept::ACCEPT_RETRY_DELAY;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, error::Error, time::Duration};
use tokio::{net::TcpListener, time::sleep};

/// Time allowed for a client to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves admin requests over HTTP/1 until the future is dropped, without a connection limit.
pub async fn serve_admin<H, F, B>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let response = handler(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}
