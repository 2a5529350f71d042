//! Calls over HTTP to the platform's store and to its promotions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use sapphireslip_platform::{Call, Rows, Table, decode_rows, read_table};

use crate::lead_metrics::LeadMetrics;

/// How long a connection may take to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// The shortest time that a call is given besides the time that it asks the store to wait.
const CALL_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// The longest time that a call is given: a permission would have ended by then.
const CALL_TIMEOUT_MAX: Duration = Duration::from_millis(2_500);

/// How many times the usual time a call is given.
const CALL_TIMEOUT_FACTOR: u32 = 4;

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long a connection may be quiet before its path is checked: a watch waits on it.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1_000);

/// How long an unused connection is kept.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The longest body that is read, in bytes.
const BODY_MAX_BYTES: usize = 8 << 20;

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The call can't be written.
        Request(err: hyper::http::Error) {
            display("writing the call: {err}")
            source(err)
        }
        /// No connection, or it broke.
        Connection(to: SocketAddr, err: hyper_util::client::legacy::Error) {
            display("calling `{to}`: {err}")
            source(err)
        }
        /// The answer broke off.
        Body(to: SocketAddr, err: Box<dyn std::error::Error + Send + Sync>) {
            display("reading the answer of `{to}`: {err}")
        }
        /// Nothing came in time.
        Timeout(to: SocketAddr, limit: Duration) {
            display("`{to}` did not answer within {limit:?}")
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// The one client for the platform.
#[derive(Clone, Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    /// How long calls have lately taken, in microseconds.
    typical_call_micros: Arc<AtomicU64>,
    metrics: Arc<LeadMetrics>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, metrics: Arc<LeadMetrics>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_IDLE / 2));
        connector.set_keepalive_retries(Some(2));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Self {
            address,
            typical_call_micros: Arc::default(),
            metrics,
            client,
        }
    }

    /// Makes a call; `wait` is the time that the call asks the other side to wait.
    ///
    /// A connection whose answer is late is dropped: nothing more would come on it.
    pub(crate) async fn call(&self, call: Call, wait: Duration) -> Result<CallAnswer, CallError> {
        let name = call.name;
        let typical = Duration::from_micros(self.typical_call_micros.load(Ordering::Relaxed));
        let limit = (typical * CALL_TIMEOUT_FACTOR).clamp(CALL_TIMEOUT_MIN, CALL_TIMEOUT_MAX);
        let began = Instant::now();
        let answer = tokio::time::timeout(limit + wait, self.send(call)).await;
        if wait.is_zero() {
            self.update_typical_time(began.elapsed(), typical);
        }
        let outcome = match &answer {
            Ok(Ok(answer)) if answer.status == 200 => "done",
            Ok(Ok(_)) => "refused",
            Ok(Err(_)) => "failed",
            Err(_) => "timeout",
        };
        self.metrics.store_call(name, outcome, began.elapsed());
        answer.unwrap_or(Err(CallError::Timeout(self.address, limit + wait)))
    }

    /// Follows a slow store at once, and a quick one step by step.
    fn update_typical_time(&self, took: Duration, typical: Duration) {
        let typical = if typical < took {
            took
        } else {
            (typical * 3 + took) / 4
        };
        let micros = u64::try_from(typical.as_micros()).unwrap_or(u64::MAX);
        self.typical_call_micros.store(micros, Ordering::Relaxed);
    }

    /// Reads a whole table, in as many calls as it takes; none if the store does not answer all.
    pub(crate) async fn read(&self, table: Table) -> Option<Rows> {
        let mut rows = self.read_from(table, None).await?;
        while let Some(from) = rows.next_from() {
            let next = self.read_from(table, Some(from)).await?;
            rows.join(next);
        }
        Some(rows)
    }

    async fn read_from(&self, table: Table, from: Option<&str>) -> Option<Rows> {
        let answer = self.call(read_table(table, from), Duration::ZERO).await;
        let answer = answer
            .inspect_err(|err| log::debug!("reading {table:?}: {err}"))
            .ok()?;
        if answer.status != 200 {
            log::debug!("reading {table:?}: status {}", answer.status);
            return None;
        }
        decode_rows(&answer.body)
            .inspect_err(|err| log::warn!("reading {table:?}: {err}"))
            .ok()
    }

    async fn send(&self, call: Call) -> Result<CallAnswer, CallError> {
        let to = self.address;
        let uri = format!("http://{to}{}", call.path);
        let mut request = Request::builder()
            .method(if call.is_post { "POST" } else { "GET" })
            .uri(uri);
        if call.is_post {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::from(call.body))
            .map_err(CallError::Request)?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|err| CallError::Connection(to, err))?;
        let status = response.status().as_u16();
        let body = http_body_util::Limited::new(response.into_body(), BODY_MAX_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|err| CallError::Body(to, err))?;
        Ok(CallAnswer {
            status,
            body: body.to_bytes(),
        })
    }
}
