//! The messages between daemons.

use std::net::{IpAddr, SocketAddr};

use crate::derives::{data, key};
use crate::{
    AcceptedDocument, Answer, ChangeCount, DatabaseName, Incarnation, Request, RequestId,
    SessionId, Term, VmId, ZoneName,
};

key! {
    /// The state of a VM as seen by other daemons.
    pub enum VmState {
        /// The VM is up and may be given work.
        Alive,
        /// The VM has not answered; it is declared dead unless it is heard from in time.
        Suspect,
        /// The VM is being stopped and gets no new work.
        Leaving,
        /// The VM does not run or cannot be reached.
        Dead,
    }

    /// The number of a probe, which its answer repeats.
    pub struct ProbeNumber(pub u64);
}

data! {
    /// What is known of a VM. Of two records, the one with the higher incarnation wins, then the
    /// one with the worse state.
    pub struct VmRecord {
        /// The VM's name.
        pub vm: VmId,
        /// The VM's availability zone.
        pub zone: ZoneName,
        /// The address at which the VM's daemon accepts connections from peers.
        pub address: SocketAddr,
        /// The incarnation of the VM's daemon; each run has a higher one, and a run raises it to
        /// refute a false suspicion or death.
        pub incarnation: Incarnation,
        /// The VM's state.
        pub state: VmState,
    }

    /// A message from one daemon to another. Messages between two daemons travel in order on one
    /// stream.
    pub enum PeerMessage {
        /// A client's request, from its entry daemon to the database's home.
        Request(Request),
        /// The answer to a request, from a home to an entry daemon.
        Answer(Answer),
        /// Asks the home to cancel the client's running request.
        Cancel(RequestId),
        /// Tells the home that a session ended and its open transaction must be rolled back.
        SessionClosed {
            /// The incarnation of the entry daemon.
            incarnation: Incarnation,
            /// The session that ended.
            session: SessionId,
        },
        /// A liveness probe with recent news of VMs.
        Probe {
            /// The probe's number.
            number: ProbeNumber,
            /// The sender's own record, the receiver's unless it counts as alive, and a limited
            /// number of changed ones.
            news: Vec<VmRecord>,
            /// The number of configuration changes that the sender has applied.
            changes: ChangeCount,
        },
        /// The answer to a probe.
        ProbeAck {
            /// The number of the probe that is answered.
            number: ProbeNumber,
            /// The sender's own record, the receiver's unless it counts as alive, and a limited
            /// number of changed ones.
            news: Vec<VmRecord>,
            /// The number of configuration changes that the sender has applied.
            changes: ChangeCount,
        },
        /// Asks the receiver to probe a VM that did not answer the sender.
        ProbeFor {
            /// The number of the sender's own probe of the VM.
            number: ProbeNumber,
            /// The VM to probe.
            vm: VmId,
        },
        /// Tells the receiver that the VM answered the probe made on its behalf.
        ProbeForAck {
            /// The number of the receiver's own probe of the VM.
            number: ProbeNumber,
        },
        /// Asks for the records of all VMs that the receiver knows.
        WantVms,
        /// VM records: a part of all those that the sender may share with the receiver, or some
        /// that changed.
        Vms(Vec<VmRecord>),
        /// Asks for the configuration documents accepted after a number of changes.
        WantDocuments {
            /// The number of changes that the sender has applied.
            since: ChangeCount,
        },
        /// Configuration documents that were accepted after a number of changes.
        Documents {
            /// The number of changes after which the documents were accepted. Of those accepted
            /// from then on up to `changes`, none is left out; later ones may be, as a message is
            /// limited in size.
            since: ChangeCount,
            /// The accepted documents.
            documents: Vec<AcceptedDocument>,
            /// The number of changes that the receiver has applied once it applies these documents.
            changes: ChangeCount,
        },
        /// The IP addresses of backend servers that the platform lists as leaving.
        LeavingServers(Vec<IpAddr>),
        /// Asks the home in another zone whether it too finds the primary of a database down or
        /// missing.
        ConfirmSuspicion {
            /// The database.
            database: DatabaseName,
            /// The term whose primary is suspected or missing.
            term: Term,
        },
        /// The answer to [`Self::ConfirmSuspicion`].
        Suspicion {
            /// The database.
            database: DatabaseName,
            /// The term that was asked about, or a higher one that the sender knows.
            term: Term,
            /// Whether the sender finds the primary down too.
            confirmed: bool,
        },
        /// Tells the other homes that a server was promoted, so that they need not wait for its
        /// next status.
        Promoted {
            /// The database.
            database: DatabaseName,
            /// The new term.
            term: Term,
        },
    }
}
