//! A client of the platform's table service.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_wire::platform::table_client::TableClient;
use sapphireslip_wire::platform::{ReadReply, ReadRequest, TransactReply, TransactRequest};
use tonic::transport::{Channel, Endpoint};

use crate::Error;

/// The timeout for a connection to the platform, and for each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of the table service at one address.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    /// The address of the table service.
    address: SocketAddr,
    /// The gRPC client, which connects with its first call.
    table: TableClient<Channel>,
}

impl PlatformClient {
    /// Creates a client that connects with its first call.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] if the address is not valid in a URI.
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

    /// Returns the address of the table service.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads rows by their keys.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] if the platform does not answer or refuses the call.
    pub(crate) async fn read(&mut self, req: ReadRequest) -> Result<ReadReply, Error> {
        let reply = self.table.read(req).await;
        reply
            .map(tonic::Response::into_inner)
            .map_err(|status| self.failed("read", &status))
    }

    /// Commits a transaction; if a condition does not hold, the reply names it and nothing is
    /// written.
    ///
    /// # Errors
    ///
    /// [`Error::Call`] if the call fails; the transaction may have been committed all the same.
    pub(crate) async fn transact(&mut self, req: TransactRequest) -> Result<TransactReply, Error> {
        let reply = self.table.transact(req).await;
        reply
            .map(tonic::Response::into_inner)
            .map_err(|status| self.failed("commit", &status))
    }

    /// Returns the error for a failed call.
    fn failed(&self, step: &'static str, status: &tonic::Status) -> Error {
        Error::Call(step, self.address, status.message().to_owned())
    }
}
