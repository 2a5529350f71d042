//! An HTTP client for the admin interface of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::Error;

/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest accepted body of an answer, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Sends a GET request and returns the body of the answer.
///
/// # Errors
///
/// [`Error::Call`] if there is no answer or its status is not a success.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<String, Error> {
    call(Method::GET, address, path).await
}

/// Sends a POST request without a body and returns the body of the answer.
///
/// # Errors
///
/// [`Error::Call`] if there is no answer or its status is not a success.
pub(crate) async fn post(address: SocketAddr, path: &str) -> Result<String, Error> {
    call(Method::POST, address, path).await
}

/// Sends a request without a body and waits for the answer, at most [`CALL_TIMEOUT`].
async fn call(method: Method, address: SocketAddr, path: &str) -> Result<String, Error> {
    let answer = tokio::time::timeout(CALL_TIMEOUT, exchange(method, address, path)).await;
    let failed = |message: String| Error::Call("call the admin interface", address, message);
    match answer {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(message)) => Err(failed(message)),
        Err(_elapsed) => Err(failed(format!("no answer within {CALL_TIMEOUT:?}"))),
    }
}

/// Sends a request without a body and returns the body of the answer, or why there is none.
async fn exchange(method: Method, address: SocketAddr, path: &str) -> Result<String, String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Empty::<Bytes>::new())
        .map_err(|err| err.to_string())?;
    let response = client.request(req).await.map_err(|err| err.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), BODY_MAX_BYTES);
    let body = body
        .collect()
        .await
        .map_err(|err| err.to_string())?
        .to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(body)
    } else {
        Err(format!("{status}: {body}"))
    }
}
