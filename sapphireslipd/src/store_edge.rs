//! Carries out the reducer's effects on the store, on promotions and on the coordinator, and
//! reports their outcomes as events.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use sapphireslip_core::{ServerId, ServiceName, VmId};
use sapphireslip_lead::{
    Event, PromoteOutcome, RowVersion, StayingServers, StoreEra, StoreWrite, TablesRequest,
    ToldCatalog, WriteOutcome, Written,
};
use sapphireslip_platform::{
    Call, TOLD_CATALOG_MAX_BYTES, Table, decode_grant, decode_leaders, decode_permissions,
    decode_promote, decode_servers, decode_told_catalog, decode_told_tables, decode_write,
    encode_catalog_request, encode_grant_request, encode_tables_request, write_call,
};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::BootClock;
use crate::line_stream::split;
use crate::store_client::{CallAnswer, CallError, StoreClient};

/// How long the coordinator may take to answer a request for a grant: a connection and a round
/// trip.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long another daemon may take to begin an answer with its configuration.
const CATALOG_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long that answer may take as a whole: a few thousand accounts are 1 MB, which takes 0.9 s on
/// the slowest links, of 10 Mbit/s.
const CATALOG_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The clients for the platform and the channel for their outcomes.
#[derive(Clone, Debug)]
pub(crate) struct StoreEdge {
    /// The client for the store.
    pub(crate) store: StoreClient,
    /// The client for the service that promotes servers.
    pub(crate) promotion: StoreClient,
    /// The VM of this daemon, which asks for grants.
    pub(crate) vm: VmId,
    pub(crate) clock: BootClock,
    /// The channel to the reducer.
    pub(crate) events: flume::Sender<Event>,
}

impl StoreEdge {
    /// Reads the list of backend servers. Rows that can't be parsed are left out.
    pub(crate) async fn read_servers(self) {
        let sent = self.clock.now();
        let rows = self.store.read(Table::Servers).await;
        let (list, unreadable) = rows.map(|rows| decode_servers(&rows)).unzip();
        self.send_event(Event::Servers { list, sent }).await;
        if let Some(rows) = unreadable {
            self.send_event(Event::UnreadableServers(rows)).await;
        }
    }

    /// Reads the leaders of all services and who the coordinator is; reports nothing if that fails.
    pub(crate) async fn read_leaders(self) {
        let sent = self.clock.now();
        if let Some(rows) = self.store.read(Table::Leads).await {
            let table = decode_leaders(&rows);
            let coordinator = table.coordinator.clone();
            self.send_event(Event::Leaders(table)).await;
            self.send_event(Event::CoordinatorRead { coordinator, sent })
                .await;
        }
    }

    /// Reads the permissions of all daemons.
    pub(crate) async fn read_permissions(self) {
        let sent = self.clock.now();
        let rows = self.store.read(Table::Permits).await;
        let table = rows.map(|rows| decode_permissions(&rows));
        self.send_event(Event::Permissions { table, sent }).await;
    }

    /// Makes a conditional write.
    pub(crate) async fn write(self, what: StoreWrite) {
        let sent = self.clock.now();
        let era = self.store.era();
        let outcome = match self.call_write(&what, era).await {
            // The conditions may have held by rows that were given the same versions in the new era.
            Some(Ok(answer)) if answer.era != era => WriteOutcome::Unknown,
            Some(Ok(answer)) => {
                let outcome = decode_write(&what, answer.status, &answer.body, era);
                if outcome.is_err() || answer.status != 200 {
                    log::debug!(status = answer.status; "the store did not carry out a write");
                }
                outcome
                    .inspect_err(|err| log::warn!("decoding the answer to a write: {err}"))
                    .unwrap_or(WriteOutcome::Unknown)
            }
            Some(Err(err)) => {
                log::debug!("writing to the store: {err}");
                WriteOutcome::Unknown
            }
            None => {
                log::debug!("a write under conditions of an earlier era is not sent");
                WriteOutcome::Unknown
            }
        };
        self.send_event(Event::Written(Written {
            write: what,
            sent,
            outcome,
        }))
        .await;
    }

    /// Sends a conditional write to the store in an era; returns none if its conditions are of an earlier one.
    async fn call_write(
        &self,
        what: &StoreWrite,
        era: StoreEra,
    ) -> Option<Result<CallAnswer, CallError>> {
        if what.is_void_in(era) {
            return None;
        }
        Some(self.store.call(write_call(what), Duration::ZERO).await)
    }

    /// Requests a promotion of a server of the service.
    pub(crate) async fn promote(self, service: ServiceName, call: Call) {
        let outcome = match self.promotion.call(call, Duration::ZERO).await {
            Ok(answer) => decode_promote(answer.status),
            Err(err) => {
                log::warn!("requesting a promotion in service `{service}`: {err}");
                PromoteOutcome::Unknown
            }
        };
        self.send_event(Event::Promoted { service, outcome }).await;
    }

    /// Asks the coordinator for a grant, and which of the servers stay; reports nothing if it does
    /// not answer in time.
    pub(crate) async fn ask_grant(
        self,
        address: SocketAddr,
        generation: RowVersion,
        servers: Vec<ServerId>,
    ) {
        let sent = self.clock.now();
        let mut request = Vec::new();
        encode_grant_request(&self.vm, generation, &servers, &mut request);
        let asked = tokio::time::timeout(GRANT_TIMEOUT, request_grant(address, &request));
        match asked.await.unwrap_or_else(|err| Err(io::Error::other(err))) {
            Ok((length, staying)) => {
                let event = Event::Granted {
                    generation,
                    staying,
                    length,
                    sent,
                };
                self.send_event(event).await;
            }
            Err(err) => log::debug!("asking `{address}` for a grant: {err}"),
        }
    }

    /// Asks the daemon at the address for a configuration that is newer than `version`.
    pub(crate) async fn ask_catalog(self, address: SocketAddr, version: Option<u64>) {
        let sent = self.clock.now();
        let asked = tokio::time::timeout(CATALOG_TIMEOUT, request_catalog(address, version));
        let told = asked.await.unwrap_or_else(|err| Err(io::Error::other(err)));
        let told = told
            .inspect_err(|err| log::debug!("asking `{address}` for the configuration: {err}"))
            .ok();
        self.send_event(Event::CatalogTold { told, sent }).await;
    }

    /// Asks the reader at the address for tables of the store.
    pub(crate) async fn ask_tables(self, address: SocketAddr, request: TablesRequest) {
        let sent = self.clock.now();
        let mut line = Vec::new();
        encode_tables_request(&request, &mut line);
        let answered = request_lines(address, &line, request.wait);
        let limit = CATALOG_TIMEOUT + request.wait;
        let asked = tokio::time::timeout(limit, answered).await;
        let told = asked.unwrap_or_else(|err| Err(io::Error::other(err)));
        let told = told
            .and_then(|(first, rest)| decode_told_tables(&first, &rest).map_err(io::Error::other))
            .inspect_err(|err| log::debug!("asking `{address}` for tables: {err}"))
            .ok();
        self.send_event(Event::TablesTold { told, sent }).await;
    }

    /// Sends an event to the reducer.
    async fn send_event(&self, event: Event) {
        // Fails only if the daemon is already stopping.
        let _stopping = self.events.send_async(event).await;
    }
}

/// Sends the coordinator at the address a request for a grant, and returns how long the grant lasts,
/// where zero is a refusal, and which servers stay.
async fn request_grant(
    address: SocketAddr,
    request: &[u8],
) -> io::Result<(Duration, StayingServers)> {
    let stream = TcpStream::connect(address).await?;
    let (mut lines, mut writer) = split(stream)?;
    writer.write_all(request).await?;
    let line = lines.next().await?;
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    decode_grant(&line).map_err(io::Error::other)
}

/// Asks the daemon at the address for a configuration that is newer than `version`, and returns its
/// answer, which the end of the connection completes.
async fn request_catalog(address: SocketAddr, version: Option<u64>) -> io::Result<ToldCatalog> {
    let mut request = Vec::new();
    encode_catalog_request(version, &mut request);
    let (first, rest) = request_lines(address, &request, Duration::ZERO).await?;
    decode_told_catalog(&first, &rest).map_err(io::Error::other)
}

/// Sends a request to another daemon, which may hold it for `wait`, and returns the first line of the
/// answer and the others, joined, up to the end of the connection.
async fn request_lines(
    address: SocketAddr,
    request: &[u8],
    wait: Duration,
) -> io::Result<(BytesMut, Vec<u8>)> {
    let first_line = async {
        let (mut lines, mut writer) = split(TcpStream::connect(address).await?)?;
        writer.write_all(request).await?;
        let line = lines.next().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        io::Result::Ok((line, lines, writer))
    };
    let answered = tokio::time::timeout(CATALOG_ANSWER_TIMEOUT + wait, first_line).await;
    // The writer is kept: the other daemon takes the end of the request for the end of the session.
    let (first, mut lines, _writer) = answered.map_err(io::Error::other)??;
    let mut rest = Vec::new();
    while let Some(line) = lines.next().await? {
        if rest.len() + line.len() > TOLD_CATALOG_MAX_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        rest.extend_from_slice(&line);
    }
    Ok((first, rest))
}
