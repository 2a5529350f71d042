//! Assigns each fleet a block of loopback addresses of its own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// The number of address blocks reserved for one process; its further fleets reuse them.
const FLEETS_PER_PROCESS: u32 = 64;

/// The port on which daemons accept clients.
const CLIENT_PORT: u16 = 5432;

/// The port of the relay through which peers reach a daemon, and of the platform.
const LINK_PORT: u16 = 7000;

/// The port on which a daemon itself accepts peers, behind the relay.
const PEER_PORT: u16 = 7001;

/// The port of backend servers. No daemon uses it, because the daemons of a large fleet share IP
/// addresses with backend servers.
const SERVER_PORT: u16 = 5433;

/// The port of the daemons' admin interface.
const ADMIN_PORT: u16 = 9000;

/// The number of address blocks allocated by this process so far.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// The addresses of one fleet: the block `127.second.third.0/24` of 256 loopback addresses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetAddresses {
    /// The second octet of all addresses.
    second_octet: u8,
    /// The third octet of all addresses.
    third_octet: u8,
}

impl FleetAddresses {
    /// Allocates the next block of this process.
    ///
    /// Blocks are derived from the process identifier, so fleets of other processes rarely get the
    /// same one.
    pub(crate) fn allocate() -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed) % FLEETS_PER_PROCESS;
        let block = std::process::id()
            .wrapping_mul(FLEETS_PER_PROCESS)
            .wrapping_add(number);
        let [third_octet, second_octet] = [block % 254, (block / 254) % 250];
        let byte = |value: u32| u8::try_from(value).unwrap_or_default() + 1;
        Self {
            second_octet: byte(second_octet),
            third_octet: byte(third_octet),
        }
    }

    /// Returns the address of the block with this last octet, at most 255.
    fn ip(self, last: usize) -> IpAddr {
        let last = u8::try_from(last).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.second_octet,
            self.third_octet,
            last,
        ))
    }

    /// Returns the address of the platform.
    pub(crate) fn platform(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), LINK_PORT)
    }

    /// Returns the IP address of a daemon, by its index.
    pub(crate) fn daemon(self, number: usize) -> IpAddr {
        self.ip(10 + number)
    }

    /// Returns the address at which a daemon accepts clients.
    pub(crate) fn clients(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), CLIENT_PORT)
    }

    /// Returns the address at which peers reach a daemon: that of its relay.
    pub(crate) fn link(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), LINK_PORT)
    }

    /// Returns the address at which a daemon itself accepts peers.
    pub(crate) fn peers(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), PEER_PORT)
    }

    /// Returns the address of a daemon's admin interface.
    pub(crate) fn admin(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), ADMIN_PORT)
    }

    /// Returns the address of a backend server, by the indices of its database and in its group.
    pub(crate) fn server(self, database: usize, server: usize) -> SocketAddr {
        SocketAddr::new(self.ip(100 + database * 10 + server), SERVER_PORT)
    }
}
