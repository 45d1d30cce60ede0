use super::FleetError;
use cassiagw_surfaces::http::{HttpClient, HttpRequest};
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;

/// Reads a JSON document from a stand-in or a daemon.
///
/// # Errors
/// The request failed or the response is not JSON.
pub async fn read_json(
    http: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<Value, FleetError> {
    let answer = http.call(address, HttpRequest::new(Method::GET, path)).await;
    let answer = answer.map_err(|error| FleetError::NotReady(error.to_string()))?;
    answer.json().map_err(|error| FleetError::NotReady(error.to_string()))
}

/// Sets the injected faults of a stand-in.
///
/// # Errors
/// The request failed.
pub async fn set_faults(
    http: &HttpClient,
    address: SocketAddr,
    faults: &Value,
) -> Result<(), FleetError> {
    let answer = http.call(address, HttpRequest::new_json("/admin/faults", faults)).await;
    answer.map(|_| ()).map_err(|error| FleetError::NotReady(error.to_string()))
}
