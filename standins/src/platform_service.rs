//! The gRPC services of the platform stand-in.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphireslip_wire::platform::table_server::Table;
use sapphireslip_wire::platform::vms_server::Vms;
use sapphireslip_wire::platform::{
    ListReply, ListRequest, ReadReply, ReadRequest, TransactReply, TransactRequest,
};
use tonic::metadata::MetadataMap;
use tonic::{Request, Response, Status};

use crate::platform::{PlatformState, lock};
use crate::platform_table::TableLimit;

/// How long a call from a VM that is cut off stays unanswered before it fails.
const CUT_CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The implementation of the services on the shared state.
#[derive(Clone, Debug)]
pub(crate) struct PlatformService {
    /// The state shared with the handle.
    pub(crate) state: Arc<Mutex<PlatformState>>,
}

/// The kind of a call, which decides its rate limit and its counter.
#[derive(Clone, Copy)]
enum CallKind {
    /// A read of rows.
    Read,
    /// A transaction.
    Write,
    /// A read of the VM list.
    List,
}

/// The treatment of a call that is not refused.
enum Gate {
    /// The call takes effect after this delay.
    Pass(Duration),
    /// The call is not answered.
    Silent,
}

impl PlatformService {
    /// Waits until a call may take effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform is down, the rate limit is exceeded, or the VM is cut off.
    async fn admit(&self, kind: CallKind, metadata: &MetadataMap) -> Result<(), Status> {
        match self.gate(kind, metadata)? {
            Gate::Pass(Duration::ZERO) => Ok(()),
            Gate::Pass(delay) => {
                tokio::time::sleep(delay).await;
                self.refuse_if_down()
            }
            Gate::Silent => {
                tokio::time::sleep(CUT_CALL_TIMEOUT).await;
                Err(Status::unavailable("the VM or its zone is cut off"))
            }
        }
    }

    /// Decides how a call is treated, from the faults, the rate limits and the VM and zone in the
    /// call's metadata.
    fn gate(&self, kind: CallKind, metadata: &MetadataMap) -> Result<Gate, Status> {
        self.refuse_if_down()?;
        let mut state = lock(&self.state);
        let named = |key: &str| metadata.get(key).and_then(|value| value.to_str().ok());
        let faults = &state.faults;
        let is_vm_cut = named("vm").is_some_and(|vm| faults.cut_vms.contains(vm));
        if is_vm_cut || named("zone").is_some_and(|zone| faults.cut_zones.contains(zone)) {
            return Ok(Gate::Silent);
        }
        let delay = faults.call_delay;
        if !count_call(&mut state, kind) {
            return Err(Status::resource_exhausted("the rate limit is exceeded"));
        }
        Ok(Gate::Pass(delay))
    }

    /// Refuses a call while the platform is down.
    fn refuse_if_down(&self) -> Result<(), Status> {
        match lock(&self.state).faults.is_down {
            true => Err(Status::unavailable("the platform is down")),
            false => Ok(()),
        }
    }
}

/// Takes a token for a call and counts it; returns false if the rate limit is exceeded.
fn count_call(state: &mut PlatformState, kind: CallKind) -> bool {
    let now = Instant::now();
    let (limit, count) = match kind {
        CallKind::Read => (&mut state.read_limit, &mut state.counts.reads),
        CallKind::Write => (&mut state.write_limit, &mut state.counts.transactions),
        CallKind::List => (&mut state.read_limit, &mut state.counts.lists),
    };
    if limit.take(now) {
        *count += 1;
        return true;
    }
    state.counts.limited += 1;
    false
}

/// Returns the status that reports an exceeded limit of the table.
fn limit_status(limit: TableLimit) -> Status {
    Status::invalid_argument(format!("a limit of the table is exceeded: {limit:?}"))
}

#[tonic::async_trait]
impl Table for PlatformService {
    async fn read(&self, req: Request<ReadRequest>) -> Result<Response<ReadReply>, Status> {
        self.admit(CallKind::Read, req.metadata()).await?;
        let rows = lock(&self.state).table.read(req.into_inner());
        let rows = rows.map_err(limit_status)?;
        Ok(Response::new(ReadReply { rows }))
    }

    async fn transact(
        &self,
        req: Request<TransactRequest>,
    ) -> Result<Response<TransactReply>, Status> {
        self.admit(CallKind::Write, req.metadata()).await?;
        let mut state = lock(&self.state);
        let failed = state
            .table
            .transact(req.into_inner())
            .map_err(limit_status)?;
        if failed.is_none() && std::mem::take(&mut state.faults.lose_next_answer) {
            return Err(Status::unavailable("the answer was lost"));
        }
        Ok(Response::new(TransactReply { failed }))
    }
}

#[tonic::async_trait]
impl Vms for PlatformService {
    async fn list(&self, req: Request<ListRequest>) -> Result<Response<ListReply>, Status> {
        self.admit(CallKind::List, req.metadata()).await?;
        let mut state = lock(&self.state);
        let lag = state.vm_list_lag;
        Ok(Response::new(state.vms.list(Instant::now(), lag)))
    }
}
