//! The platform edge: reads the documents and the VM list from the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{
    AcceptedDocument, ChangeCount, Event, Local, PlatformEffect, PlatformEvent,
};
use sapphireslip_wire::platform::table_client::TableClient;
use sapphireslip_wire::platform::vms_client::VmsClient;
use sapphireslip_wire::platform::{ListRequest, ReadReply, ReadRequest};
use sapphireslip_wire::{
    CHANGES_READ_MAX, MESSAGE_MAX_BYTES, VmList, all_document_keys, change_count,
    change_count_read, change_reads, changed_document_keys, document, document_reads,
    documents_read,
};
use tokio::task::JoinSet;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

/// How long one call to the platform may take.
pub const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long reading all changed documents may take.
pub const PLATFORM_DOCUMENTS_TIMEOUT: Duration = Duration::from_secs(10);

/// How long connecting to the platform may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval between keepalive pings while a call is in flight.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The kind of a call to the platform; at most one of each kind is in flight.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CallKind {
    Changes,
    Documents,
    Vms,
}

impl From<&PlatformEffect> for CallKind {
    fn from(effect: &PlatformEffect) -> Self {
        match effect {
            PlatformEffect::ReadChanges => Self::Changes,
            PlatformEffect::ReadDocuments { .. } => Self::Documents,
            PlatformEffect::ReadVms => Self::Vms,
        }
    }
}

/// Carries out platform effects until their channel is closed.
///
/// Drops an effect while a call of its kind is in flight; the reducer gets the answer of that call.
pub async fn run(
    address: SocketAddr,
    local: Local,
    events: flume::Sender<Event>,
    effects: flume::Receiver<PlatformEffect>,
) {
    let Some(client) = Client::new(address, &local) else {
        log::error!(peer:% = address; "can't call the platform: invalid address, VM or zone");
        return;
    };
    let mut in_flight = BTreeSet::new();
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            effect = effects.recv_async() => {
                let Ok(effect) = effect else { return };
                let kind = CallKind::from(&effect);
                if in_flight.insert(kind) {
                    let (client, events) = (client.clone(), events.clone());
                    calls.spawn(async move {
                        client.carry_out(effect, &events).await;
                        kind
                    });
                }
            }
            Some(done) = calls.join_next() => match done {
                Ok(kind) => { in_flight.remove(&kind); }
                Err(err) => log::error!("a call to the platform was aborted: {err}"),
            }
        }
    }
}

/// A client of the platform that sends this daemon's VM and zone with each call.
#[derive(Clone, Debug)]
struct Client {
    /// The table service, which holds the documents and their change log.
    table: TableClient<Channel>,
    /// The VM list service.
    vms: VmsClient<Channel>,
    /// The VM of this daemon, sent in the metadata `vm`.
    vm: MetadataValue<Ascii>,
    /// The availability zone of this daemon, sent in the metadata `zone`.
    zone: MetadataValue<Ascii>,
}

impl Client {
    /// Returns a client that connects at its first call; `None` if the address, VM or zone can't be
    /// sent in a call.
    fn new(address: SocketAddr, local: &Local) -> Option<Self> {
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(PLATFORM_CALL_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(PLATFORM_CALL_TIMEOUT)
            .connect_lazy();
        Some(Self {
            table: TableClient::new(channel.clone()).max_decoding_message_size(MESSAGE_MAX_BYTES),
            vms: VmsClient::new(channel).max_decoding_message_size(MESSAGE_MAX_BYTES),
            vm: local.vm.as_str().parse().ok()?,
            zone: local.zone.as_str().parse().ok()?,
        })
    }

    /// Calls the platform and reports the answers, or the failure as one event without content.
    async fn carry_out(&self, effect: PlatformEffect, events: &flume::Sender<Event>) {
        let step = format!("{effect:?}");
        let limit = match effect {
            PlatformEffect::ReadDocuments { .. } => PLATFORM_DOCUMENTS_TIMEOUT,
            PlatformEffect::ReadChanges | PlatformEffect::ReadVms => PLATFORM_CALL_TIMEOUT,
        };
        let failed = failure_event(&effect);
        let answers = match tokio::time::timeout(limit, self.call(effect)).await {
            Ok(Ok(answers)) => answers,
            Ok(Err(status)) => {
                log::info!(peer = "platform", step; "{status}");
                vec![failed]
            }
            Err(_) => {
                log::info!(peer = "platform", step; "the platform did not answer in time");
                vec![failed]
            }
        };
        for answer in answers {
            // Fails only while the daemon stops.
            let _stopped = events.send_async(Event::Platform(answer)).await;
        }
    }

    async fn call(&self, effect: PlatformEffect) -> Result<Vec<PlatformEvent>, Status> {
        match effect {
            PlatformEffect::ReadChanges => {
                let count = self.changes().await?;
                Ok(vec![PlatformEvent::Changes(Some(count))])
            }
            PlatformEffect::ReadDocuments { since } => {
                let documents = self.documents(since).await?;
                Ok(vec![PlatformEvent::Documents(Some(documents))])
            }
            PlatformEffect::ReadVms => {
                let list = self.vms().await?;
                Ok(vec![
                    PlatformEvent::Vms(Some(list.vms)),
                    PlatformEvent::LeavingServers(list.leaving_servers),
                ])
            }
        }
    }

    async fn changes(&self) -> Result<ChangeCount, Status> {
        let reply = self.read(change_count_read()).await?;
        change_count(&reply).map_err(malformed_reply)
    }

    /// Returns the documents accepted after `since`, in the order of their change counts.
    ///
    /// A document may be changed again while it is read, and then has a later count than expected.
    /// The changes before that count have to be read as well: the reader takes the highest count as
    /// the one up to which it is complete.
    async fn documents(&self, since: ChangeCount) -> Result<Vec<AcceptedDocument>, Status> {
        let mut documents = BTreeMap::new();
        let (mut covered, mut target) = (since, self.changes().await?);
        while covered < target {
            for read in document_reads(self.keys_to_read(covered, target).await?) {
                for row in self.read(read).await?.rows {
                    let read = document(&row).map_err(malformed_reply)?;
                    documents.extend(read.map(|document| (row.key, document)));
                }
            }
            covered = target;
            let last = documents.values().map(|document| document.change).max();
            target = target.max(last.unwrap_or_default());
        }
        let mut documents: Vec<_> = documents.into_values().collect();
        documents.sort_by_key(|document| document.change);
        Ok(documents)
    }

    /// Returns the keys of the documents to read: the changed ones, or all if more than
    /// [`CHANGES_READ_MAX`] changes were made and the table lists the documents.
    async fn keys_to_read(
        &self,
        since: ChangeCount,
        target: ChangeCount,
    ) -> Result<BTreeSet<String>, Status> {
        if target.0.saturating_sub(since.0) > CHANGES_READ_MAX {
            let reply = self.read(documents_read()).await?;
            if let Some(keys) = all_document_keys(&reply).map_err(malformed_reply)? {
                return Ok(keys);
            }
        }
        self.changed_keys(since, target).await
    }

    /// Returns the keys of the documents that were changed after `since`, up to `target`.
    async fn changed_keys(
        &self,
        since: ChangeCount,
        target: ChangeCount,
    ) -> Result<BTreeSet<String>, Status> {
        let mut keys = BTreeSet::new();
        for read in change_reads(since, target) {
            let reply = self.read(read).await?;
            keys.extend(changed_document_keys(&reply).map_err(malformed_reply)?);
        }
        Ok(keys)
    }

    async fn vms(&self) -> Result<VmList, Status> {
        let reply = self.vms.clone().list(self.request(ListRequest {})).await?;
        VmList::try_from(reply.into_inner()).map_err(malformed_reply)
    }

    async fn read(&self, req: ReadRequest) -> Result<ReadReply, Status> {
        let reply = self.table.clone().read(self.request(req)).await?;
        Ok(reply.into_inner())
    }

    /// Returns a request with this daemon's VM and zone in its metadata.
    fn request<T>(&self, message: T) -> Request<T> {
        let mut req = Request::new(message);
        req.metadata_mut().insert("vm", self.vm.clone());
        req.metadata_mut().insert("zone", self.zone.clone());
        req
    }
}

/// Returns the event that reports a failed call.
fn failure_event(effect: &PlatformEffect) -> PlatformEvent {
    match effect {
        PlatformEffect::ReadChanges => PlatformEvent::Changes(None),
        PlatformEffect::ReadDocuments { .. } => PlatformEvent::Documents(None),
        PlatformEffect::ReadVms => PlatformEvent::Vms(None),
    }
}

fn malformed_reply(err: sapphireslip_wire::WireError) -> Status {
    Status::data_loss(err.to_string())
}
