//! Carries out what the reducer asks of the store and of promotions.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{ServiceName, VmId};
use sapphireslip_lead::{
    Event, PermissionTable, PromoteOutcome, RowVersion, ServerRecord, StoreWrite, WriteOutcome,
    Written,
};
use sapphireslip_platform::{
    Call, PlatformError, Rows, Table, decode_grant, decode_leads, decode_permits, decode_promote,
    decode_servers, decode_write, encode_ask, write,
};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::BootClock;
use crate::line_stream::split;
use crate::store_client::StoreClient;

/// How long the holder of the duty may take to answer: a connection and a round trip.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// The store, the promotions and where their answers go.
#[derive(Clone, Debug)]
pub(crate) struct StoreEdge {
    pub(crate) store: StoreClient,
    pub(crate) promotion: StoreClient,
    pub(crate) vm: VmId,
    pub(crate) clock: BootClock,
    pub(crate) events: flume::Sender<Event>,
}

impl StoreEdge {
    pub(crate) async fn read_servers(self) {
        let rows = self.store.read(Table::Servers).await;
        let list: Option<Vec<ServerRecord>> = rows.map(|rows| {
            let (records, faults) = decode_servers(&rows);
            for (key, err) in faults {
                log::debug!("server `{key}` is left out: {err}");
            }
            records
        });
        self.send_event(Event::Servers(list)).await;
    }

    pub(crate) async fn read_leaders(self) {
        if let Some(table) = self.read(Table::Leads, decode_leads).await {
            self.send_event(Event::Leaders(table)).await;
        }
    }

    pub(crate) async fn read_permissions(self) {
        let sent = self.clock.now();
        let table: Option<PermissionTable> = self.read(Table::Permits, decode_permits).await;
        self.send_event(Event::Permissions { table, sent }).await;
    }

    async fn read<T>(
        &self,
        table: Table,
        decode: fn(&Rows) -> Result<T, PlatformError>,
    ) -> Option<T> {
        let rows = self.store.read(table).await?;
        let decoded = decode(&rows);
        decoded
            .inspect_err(|err| log::warn!("reading {table:?}: {err}"))
            .ok()
    }

    pub(crate) async fn write(self, what: StoreWrite) {
        let sent = self.clock.now();
        let outcome = match self.store.call(write(&what), Duration::ZERO).await {
            Ok(answer) => {
                let outcome = decode_write(&what, answer.status, &answer.body);
                if outcome.is_err() || answer.status != 200 {
                    log::debug!(status = answer.status; "a write was not done");
                }
                outcome
                    .inspect_err(|err| log::warn!("{err}"))
                    .unwrap_or(WriteOutcome::Unknown)
            }
            Err(err) => {
                log::debug!("writing: {err}");
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

    pub(crate) async fn promote(self, service: ServiceName, call: Call) {
        let outcome = match self.promotion.call(call, Duration::ZERO).await {
            Ok(answer) => decode_promote(answer.status),
            Err(err) => {
                log::warn!("promoting: {err}");
                PromoteOutcome::Unknown
            }
        };
        self.send_event(Event::Promoted { service, outcome }).await;
    }

    /// Asks the holder of the duty for a grant.
    pub(crate) async fn ask_grant(self, address: SocketAddr, generation: RowVersion) {
        let sent = self.clock.now();
        let asked =
            tokio::time::timeout(GRANT_TIMEOUT, request_grant(address, &self.vm, generation));
        match asked.await.unwrap_or_else(|err| Err(io::Error::other(err))) {
            Ok(length) => {
                let event = Event::Granted {
                    generation,
                    length,
                    sent,
                };
                self.send_event(event).await;
            }
            Err(err) => log::debug!("asking `{address}` for a grant: {err}"),
        }
    }

    async fn send_event(&self, event: Event) {
        // Fails only when the daemon is stopping already.
        let _stopping = self.events.send_async(event).await;
    }
}

async fn request_grant(
    address: SocketAddr,
    vm: &VmId,
    generation: RowVersion,
) -> io::Result<Duration> {
    let stream = TcpStream::connect(address).await?;
    let (mut lines, mut writer) = split(stream)?;
    let mut bytes = Vec::new();
    encode_ask(vm, generation, &mut bytes);
    writer.write_all(&bytes).await?;
    let line = lines.next().await?;
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    decode_grant(&line).map_err(io::Error::other)
}
