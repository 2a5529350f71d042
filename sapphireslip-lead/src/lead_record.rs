//! The rows that daemons share through the store: the leaders, the coordinator and the permissions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{Incarnation, ServerId, ServiceName, Text, VmId, ZoneName, data, key};

use crate::{StoreEra, Term};

key! {
    /// The version of a row in the store, which rises with every transaction there; 0 stands for a
    /// row that does not exist.
    #[derive(Default)]
    pub struct RowVersion(pub u64);

    /// A reading of the store's clock, as the time since the clock's zero.
    #[derive(Default)]
    pub struct StoreTime(pub Duration);
}

data! {
    /// The server that is named to lead a service.
    pub struct LeaderRecord {
        /// The named server.
        pub leader: ServerId,
        /// The server leads once it reports itself as the primary of a higher term than this one.
        pub above: Term,
    }

    /// The daemon that is the coordinator: it names leaders and asks for promotions.
    pub struct CoordinatorRecord {
        /// The VM of the coordinator.
        pub holder: VmId,
        /// The run of the daemon on that VM. After a restart, the daemon must claim the role anew.
        pub incarnation: Incarnation,
    }

    /// The row of one daemon: its permission, its address and what it reports of the leaders.
    pub struct PermissionRecord {
        /// The VM of the daemon.
        pub vm: VmId,
        /// The run of the daemon that wrote the row.
        pub incarnation: Incarnation,
        /// The availability zone of the VM.
        pub zone: ZoneName,
        /// The VM's share of a processor core, in thousandths; 0 in rows of versions that do not
        /// write it.
        pub millicores: u32,
        /// The address where the daemon accepts forwarded sessions and requests for grants.
        pub peers: SocketAddr,
        /// Until when the daemon counts as alive, by the store's clock.
        pub alive: StoreTime,
        /// When the permission ends, by the store's clock; for a daemon that has none, about the
        /// time at which the row was written.
        pub until: StoreTime,
        /// The leaders that the daemon can't reach.
        pub unreachable: Vec<ServerId>,
        /// The leaders that have answered the daemon recently.
        pub reached: Vec<ServerId>,
        /// Whether the daemon may hold shares of the limits of accounts.
        pub holds_shares: bool,
        /// The era of the store that the daemon knew when it sent the row; the first one in rows of builds
        /// that don't write it.
        pub era: StoreEra,
    }

    /// The leaders of all services and the coordinator at one version of the store.
    #[derive(Default)]
    pub struct LeaderTable {
        /// The era of the store at the read.
        pub era: StoreEra,
        /// How long that era has lasted at least, as the coordinator wrote it that has confirmed the leaders
        /// in this era; none if none has, or in the first era.
        pub era_age: Option<Duration>,
        /// The version of the last change of any leader.
        pub generation: RowVersion,
        /// The leader of each service, with its row's version.
        pub leaders: BTreeMap<ServiceName, (LeaderRecord, RowVersion)>,
        /// The coordinator and its row's version, which is its fencing token; none if there is no
        /// coordinator, or its row can't be read.
        pub coordinator: Option<(CoordinatorRecord, RowVersion)>,
        /// The services whose leader's row can't be read.
        pub unreadable: BTreeMap<ServiceName, UnreadableRow>,
        /// The coordinator's row if it can't be read.
        pub unreadable_role: Option<UnreadableRow>,
    }

    /// A row that can't be read: another writer wrote it, or a daemon of another build.
    pub struct UnreadableRow {
        /// The row's key.
        pub key: Text,
        /// The row's version.
        pub version: RowVersion,
        /// Why it can't be read; empty if that was found by another daemon.
        pub fault: Text,
    }

    /// The permission rows of all daemons as of one read of the store.
    #[derive(Default)]
    pub struct PermissionTable {
        /// The rows, each with its version.
        pub permissions: Vec<(PermissionRecord, RowVersion)>,
        /// The rows that can't be read, under the name of a VM. A daemon there may have a permission.
        pub unreadable: Vec<UnreadableRow>,
        /// The version of the store at the read.
        pub version: RowVersion,
        /// The store's clock at the read.
        pub now: StoreTime,
    }
}

impl LeaderTable {
    /// Returns the version of the coordinator's row; none if there is no row.
    pub(crate) fn role_version(&self) -> Option<RowVersion> {
        let held = self.coordinator.as_ref().map(|(_, version)| *version);
        held.or(self.unreadable_role.as_ref().map(|row| row.version))
    }

    /// Returns the version of the row of a service's leader, 0 if there is no row.
    pub(crate) fn leader_version(&self, service: &ServiceName) -> RowVersion {
        let named = self.leaders.get(service).map(|(_, version)| *version);
        let unreadable = self.unreadable.get(service).map(|row| row.version);
        named.or(unreadable).unwrap_or_default()
    }
}

impl PermissionTable {
    /// Returns the daemons whose permission was valid at the read.
    pub(crate) fn permitted(&self) -> impl Iterator<Item = &PermissionRecord> {
        let records = self.permissions.iter().map(|(record, _)| record);
        records.filter(|record| self.now < record.until)
    }

    /// Returns the version of a VM's row if that can't be read.
    pub(crate) fn unreadable_row_of(&self, vm: &VmId) -> Option<RowVersion> {
        let mut rows = self.unreadable.iter();
        let row = rows.find(|row| *row.key == *vm.as_str());
        row.map(|row| row.version)
    }
}
