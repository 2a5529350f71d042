//! Calls to the platform's table service.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_wire::platform::table_client::TableClient;
use sapphireslip_wire::platform::{ReadReply, ReadRequest, TransactReply, TransactRequest};
use tonic::transport::{Channel, Endpoint};

use crate::Error;

/// The time that the platform has for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of the table service at one address.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    address: SocketAddr,
    table: TableClient<Channel>,
}

impl PlatformClient {
    /// Returns a client that connects with its first call.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] if the address can't be used.
    pub(crate) fn new(address: SocketAddr) -> Result<Self, Error> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|err| Error::Call("connect to the platform", address, err.to_string()))?
            .connect_timeout(CALL_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        Ok(Self {
            address,
            table: TableClient::new(endpoint.connect_lazy()),
        })
    }

    /// Returns the address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] if the platform does not answer.
    pub(crate) async fn read(&mut self, req: ReadRequest) -> Result<ReadReply, Error> {
        let reply = self.table.read(req).await;
        reply
            .map(tonic::Response::into_inner)
            .map_err(|status| self.failed("read", &status))
    }

    /// Commits a transaction, or names the condition that failed.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] if there was no answer: the transaction may have been committed.
    pub(crate) async fn transact(&mut self, req: TransactRequest) -> Result<TransactReply, Error> {
        let reply = self.table.transact(req).await;
        reply
            .map(tonic::Response::into_inner)
            .map_err(|status| self.failed("commit", &status))
    }

    fn failed(&self, step: &'static str, status: &tonic::Status) -> Error {
        Error::Call(step, self.address, status.message().to_owned())
    }
}
