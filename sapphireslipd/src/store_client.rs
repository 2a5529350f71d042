//! The HTTP client for the platform's store and for its service that promotes servers.

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
use sapphireslip_lead::StoreEra;
use sapphireslip_platform::{Call, ERA_HEADER, Rows, Table, decode_rows, read_call};

use crate::lead_metrics::LeadMetrics;
use crate::store_eras::StoreEras;

/// How long a connection may take to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// The lower limit of a call's timeout, not counting the time that the call asks the store to wait.
const CALL_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// The upper limit of a call's timeout, not counting the time that the call asks the store to wait.
/// A permission would have ended by then.
const CALL_TIMEOUT_MAX: Duration = Duration::from_millis(2_500);

/// The timeout of a call as a multiple of the typical duration of calls.
const CALL_TIMEOUT_FACTOR: u32 = 4;

/// How long sent bytes may stay unacknowledged before the system closes the connection as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long a connection may be idle before the first keepalive probe. A watch leaves its
/// connection idle while it waits for a change.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The interval between two keepalive probes. The system counts it in whole seconds and refuses 0,
/// and with it all options of the keepalive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long an unused connection is kept open.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The longest accepted body of an answer, in bytes.
const BODY_MAX_BYTES: usize = 8 << 20;

quick_error! {
    /// The reason why a call has no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The call can't be turned into an HTTP request.
        Request(err: hyper::http::Error) {
            display("building the request: {err}")
            source(err)
        }
        /// No connection could be opened, or it broke before the answer came.
        Connection(to: SocketAddr, err: hyper_util::client::legacy::Error) {
            display("calling `{to}`: {err}")
            source(err)
        }
        /// The connection broke within the answer, or the answer is too long.
        Body(to: SocketAddr, err: Box<dyn std::error::Error + Send + Sync>) {
            display("reading the answer from `{to}`: {err}")
        }
        /// The store has come back from a copy since it gave the answer.
        Outdated(to: SocketAddr) {
            display("`{to}` answered in an earlier era")
        }
        /// No complete answer came in time.
        Timeout(to: SocketAddr, limit: Duration) {
            display("`{to}` did not answer within {limit:?}")
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    /// The HTTP status code.
    pub(crate) status: u16,
    pub(crate) body: Bytes,
    /// The store's era at the answer.
    pub(crate) era: StoreEra,
}

/// A client for one service of the platform; its clones share their connections.
#[derive(Clone, Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    /// The typical duration of recent calls that did not ask the other side to wait, in
    /// microseconds; 0 before the first such call.
    typical_call_micros: Arc<AtomicU64>,
    metrics: Arc<LeadMetrics>,
    client: Client<HttpConnector, Full<Bytes>>,
    /// The era of the store; none for a service that has no eras.
    eras: Option<Arc<StoreEras>>,
}

impl StoreClient {
    /// Returns a client for the service at the address; it connects at the first call.
    pub(crate) fn new(address: SocketAddr, metrics: Arc<LeadMetrics>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
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
            eras: None,
        }
    }

    /// Returns the client with a tracker of the era that the answers tell.
    pub(crate) fn with_eras(self, eras: StoreEras) -> Self {
        let eras = Some(Arc::new(eras));
        Self { eras, ..self }
    }

    /// Returns the newest era that an answer has shown.
    pub(crate) fn era(&self) -> StoreEra {
        self.eras
            .as_ref()
            .map_or_else(StoreEra::default, |eras| eras.current())
    }

    /// Waits until an answer shows a later era than `era`.
    pub(crate) async fn wait_after(&self, era: StoreEra) {
        match &self.eras {
            Some(eras) => eras.wait_after(era).await,
            None => std::future::pending().await,
        }
    }

    /// Makes a call; `wait` is the time that the call asks the other side to wait.
    ///
    /// On a timeout the connection is dropped, since nothing more is expected to come on it.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer comes in time. An answer with any HTTP status is no
    /// error.
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

    /// Updates the typical duration of calls: a slower call raises it at once, quicker calls lower
    /// it step by step.
    fn update_typical_time(&self, took: Duration, typical: Duration) {
        let typical = if typical < took {
            took
        } else {
            (typical * 3 + took) / 4
        };
        let micros = u64::try_from(typical.as_micros()).unwrap_or(u64::MAX);
        self.typical_call_micros.store(micros, Ordering::Relaxed);
    }

    /// Reads a whole table, in as many calls as necessary; returns none if one of them fails.
    pub(crate) async fn read(&self, table: Table) -> Option<Rows> {
        let mut rows = self.read_from(table, None).await?;
        while let Some(from) = rows.next_from() {
            let next = self.read_from(table, Some(from)).await?;
            if next.era() != rows.era() {
                log::debug!("reading {table:?}: the store came back from a copy meanwhile");
                return None;
            }
            rows.join(next);
        }
        Some(rows)
    }

    /// Reads rows of a table from the key `from` on, or from the start.
    async fn read_from(&self, table: Table, from: Option<&str>) -> Option<Rows> {
        let answer = self.call(read_call(table, from), Duration::ZERO).await;
        let answer = answer
            .inspect_err(|err| log::debug!("reading {table:?}: {err}"))
            .ok()?;
        if answer.status != 200 {
            log::debug!("reading {table:?}: status {}", answer.status);
            return None;
        }
        decode_rows(&answer.body)
            .map(|rows| rows.in_era(answer.era))
            .inspect_err(|err| log::warn!("reading {table:?}: {err}"))
            .ok()
    }

    /// Sends a call and reads its answer, without a timeout.
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
        let era = match &self.eras {
            Some(eras) => {
                let header = response.headers().get(ERA_HEADER);
                let header = header.map(hyper::header::HeaderValue::as_bytes);
                let era = eras.learn(header, &self.metrics).await;
                era.ok_or(CallError::Outdated(to))?
            }
            None => StoreEra::FIRST,
        };
        let body = http_body_util::Limited::new(response.into_body(), BODY_MAX_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|err| CallError::Body(to, err))?;
        Ok(CallAnswer {
            status,
            body: body.to_bytes(),
            era,
        })
    }
}
