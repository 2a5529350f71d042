//! The benchmark workloads, each a mix of operations.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use rand::Rng;

use crate::Error;

/// A kind of operation that a client session runs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Operation {
    /// A non-idempotent write with a request key, such as a reservation, a payment or a movement
    /// record.
    KeyedWrite,
    /// A transaction of a write and a read, such as a transfer or an invoice.
    Transaction,
    /// A read that may be as stale as the service document allows, such as a catalogue view or a
    /// balance.
    View,
    /// A read of the session's own writes, such as an order history.
    History,
}

/// A mix of operations modelled on a customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Reservations, payments, catalogue views and order histories: mostly reads.
    RedQuetzal,
    /// Movement records, invoices and balance queries: more writes.
    Adeyemi,
}

/// A kind of operation and its share of a workload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OperationShare {
    /// The kind of operation.
    pub operation: Operation,
    /// The share of all operations in percent.
    pub percent: u32,
}

/// Returns an operation with its share in percent.
const fn share(operation: Operation, percent: u32) -> OperationShare {
    OperationShare { operation, percent }
}

/// The mix of [`Workload::RedQuetzal`].
const RED_QUETZAL: [OperationShare; 4] = [
    share(Operation::View, 60),
    share(Operation::History, 20),
    share(Operation::KeyedWrite, 15),
    share(Operation::Transaction, 5),
];

/// The mix of [`Workload::Adeyemi`].
const ADEYEMI: [OperationShare; 4] = [
    share(Operation::View, 30),
    share(Operation::History, 20),
    share(Operation::KeyedWrite, 40),
    share(Operation::Transaction, 10),
];

impl Workload {
    /// Returns the operations with their shares, which add up to 100 %.
    ///
    /// ```
    /// use sapphireslip::Workload;
    /// let total: u32 = Workload::Adeyemi.shares().iter().map(|share| share.percent).sum();
    /// assert_eq!(total, 100);
    /// ```
    #[must_use]
    pub const fn shares(self) -> [OperationShare; 4] {
        match self {
            Self::RedQuetzal => RED_QUETZAL,
            Self::Adeyemi => ADEYEMI,
        }
    }

    /// Draws a random operation according to the shares.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// use rand::rngs::SmallRng;
    /// use sapphireslip::Workload;
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// Workload::RedQuetzal.draw(&mut rng);
    /// ```
    pub fn draw(self, rng: &mut impl Rng) -> Operation {
        let mut left = rng.random_range(0..100);
        for share in self.shares() {
            if left < share.percent {
                return share.operation;
            }
            left -= share.percent;
        }
        Operation::View
    }
}

impl FromStr for Workload {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "red-quetzal" => Ok(Self::RedQuetzal),
            "adeyemi" => Ok(Self::Adeyemi),
            _ => Err(Error::UnknownWorkload(text.to_owned())),
        }
    }
}

impl Display for Workload {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RedQuetzal => "red-quetzal",
            Self::Adeyemi => "adeyemi",
        })
    }
}

impl Display for Operation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::KeyedWrite => "keyed write",
            Self::Transaction => "transaction",
            Self::View => "view",
            Self::History => "history",
        })
    }
}
