//! The rows that daemons agree on through the store: who leads, who may promote, who may rely on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{Incarnation, ServerId, ServiceName, VmId, ZoneName, data, key};

use crate::Term;

key! {
    /// The version of a row in the store; rises with every transaction there.
    #[derive(Default)]
    pub struct RowVersion(pub u64);

    /// A reading of the store's clock.
    #[derive(Default)]
    pub struct StoreTime(pub Duration);
}

data! {
    /// Who is to lead a service.
    pub struct LeaderRecord {
        /// The server.
        pub leader: ServerId,
        /// It leads once it reports itself as the primary of a higher term than this.
        pub above: Term,
    }

    /// Who may promote.
    pub struct CoordinatorRecord {
        /// The daemon that holds the duty.
        pub holder: VmId,
        /// Its run; a daemon that started again has to take the duty anew.
        pub incarnation: Incarnation,
    }

    /// The permission of one daemon to rely on the leads that it knows.
    pub struct PermissionRecord {
        /// The daemon.
        pub vm: VmId,
        /// Its run.
        pub incarnation: Incarnation,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Where it takes sessions that other daemons pass on.
        pub peers: SocketAddr,
        /// Until when it counts as alive, by the store's clock.
        pub alive: StoreTime,
        /// When the permission ends, by the store's clock; long past for a daemon that has none.
        pub until: StoreTime,
        /// The leaders that the daemon can't reach.
        pub unreachable: Vec<ServerId>,
        /// The leaders that have lately answered it.
        pub reached: Vec<ServerId>,
    }

    /// All leads at one version of the store.
    #[derive(Default)]
    pub struct LeaderTable {
        /// The version of the last change of any lead or of the duty.
        pub generation: RowVersion,
        /// The leads, each with its row's version.
        pub leaders: BTreeMap<ServiceName, (LeaderRecord, RowVersion)>,
        /// The holder of the duty and its row's version, which is its fencing token's floor.
        pub coordinator: Option<(CoordinatorRecord, RowVersion)>,
    }

    /// All permissions at one moment.
    pub struct PermissionTable {
        /// The permissions, each with its row's version.
        pub permissions: Vec<(PermissionRecord, RowVersion)>,
        /// The version of the store at that moment.
        pub version: RowVersion,
        /// The store's clock at that moment.
        pub now: StoreTime,
    }
}
