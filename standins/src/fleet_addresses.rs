//! Loopback addresses of a fleet that no other fleet on the machine uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Fleets of one process that get addresses apart from those of other processes.
const FLEETS_PER_PROCESS: u32 = 64;

/// The port on which daemons take callers.
const CALLER_PORT: u16 = 5432;

/// The port of the relay through which peers reach a daemon.
const LINK_PORT: u16 = 7000;

/// The port on which daemons take peers behind the relay.
const PEER_PORT: u16 = 7001;

/// The port of backend servers: one that no daemon has, since a large fleet's daemons come to have
/// the same addresses.
const SERVER_PORT: u16 = 5433;

/// The port of the daemons' admin interface.
const ADMIN_PORT: u16 = 9000;

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// The addresses of one fleet: a block of 256 loopback addresses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetAddresses {
    second_octet: u8,
    third_octet: u8,
}

impl FleetAddresses {
    /// Returns a block that follows from the process's identifier and the fleet's number in it.
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

    fn ip(self, last: usize) -> IpAddr {
        let last = u8::try_from(last).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.second_octet,
            self.third_octet,
            last,
        ))
    }

    /// Returns where the platform listens.
    pub(crate) fn platform(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), LINK_PORT)
    }

    /// Returns the address of a daemon, by its number.
    pub(crate) fn daemon(self, number: usize) -> IpAddr {
        self.ip(10 + number)
    }

    /// Returns where a daemon takes callers.
    pub(crate) fn callers(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), CALLER_PORT)
    }

    /// Returns where peers reach a daemon.
    pub(crate) fn link(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), LINK_PORT)
    }

    /// Returns where a daemon itself takes peers.
    pub(crate) fn peers(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), PEER_PORT)
    }

    /// Returns a daemon's admin interface.
    pub(crate) fn admin(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(number), ADMIN_PORT)
    }

    /// Returns where a backend server of a database listens.
    pub(crate) fn server(self, database: usize, server: usize) -> SocketAddr {
        SocketAddr::new(self.ip(100 + database * 10 + server), SERVER_PORT)
    }
}
