use super::OperatorsContext;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Body};

/// Answers `/v1/settings*`, `/v1/history` and `/v1/status`.
pub async fn route<B: Body>(_cx: &OperatorsContext, _req: Request<B>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::NOT_IMPLEMENTED;
    response
}
