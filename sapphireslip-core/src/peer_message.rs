//! What daemons tell one another.

use std::net::{IpAddr, SocketAddr};

use crate::derives::{data, key};
use crate::{
    AcceptedDocument, Answer, ChangeCount, DatabaseName, Incarnation, Request, RequestId,
    SessionId, Term, VmId, ZoneName,
};

key! {
    /// Whether a VM takes part.
    pub enum VmState {
        /// Takes part.
        Alive,
        /// Has not answered; others are asked before it counts as dead.
        Suspect,
        /// Is being stopped: gets no new work.
        Leaving,
        /// Gone.
        Dead,
    }

    /// The number of a probe, to match its acknowledgement.
    pub struct ProbeNumber(pub u64);
}

data! {
    /// What is known of a VM; a higher incarnation wins, then the worse state.
    pub struct VmRecord {
        /// The VM.
        pub vm: VmId,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Where its daemon takes calls from peers.
        pub address: SocketAddr,
        /// The run of its daemon.
        pub incarnation: Incarnation,
        /// Its state.
        pub state: VmState,
    }

    /// A message from one daemon to another, over one stream in order.
    pub enum PeerMessage {
        /// From an entry daemon to a home.
        Request(Request),
        /// From a home to an entry daemon.
        Answer(Answer),
        /// The caller wants its running request ended.
        Cancel(RequestId),
        /// The session ended: its open transaction at the home is to be rolled back.
        SessionClosed {
            /// The run of the entry daemon.
            incarnation: Incarnation,
            /// The session.
            session: SessionId,
        },
        /// A liveness probe, with what the sender has lately learnt of VMs.
        Probe {
            /// The probe's number.
            number: ProbeNumber,
            /// News of VMs, a bounded number.
            news: Vec<VmRecord>,
            /// The sender's count of configuration changes.
            changes: ChangeCount,
        },
        /// The answer to a probe.
        ProbeAck {
            /// The probe's number.
            number: ProbeNumber,
            /// News of VMs, a bounded number.
            news: Vec<VmRecord>,
            /// The sender's count of configuration changes.
            changes: ChangeCount,
        },
        /// Asks the receiver to probe a VM that did not answer the sender.
        ProbeFor {
            /// The sender's probe number.
            number: ProbeNumber,
            /// The VM.
            vm: VmId,
        },
        /// The VM answered the probe made on the receiver's behalf.
        ProbeForAck {
            /// The receiver's probe number.
            number: ProbeNumber,
        },
        /// Asks for all VMs known.
        WantVms,
        /// All VMs known, or news of some.
        Vms(Vec<VmRecord>),
        /// Asks for the documents accepted after a count of changes.
        WantDocuments {
            /// What the sender has.
            since: ChangeCount,
        },
        /// Documents accepted since.
        Documents {
            /// The count of changes after which they were accepted, none left out.
            since: ChangeCount,
            /// The documents.
            documents: Vec<AcceptedDocument>,
            /// The count of changes that these bring the receiver to.
            changes: ChangeCount,
        },
        /// The IP numbers of backend servers that the platform lists as leaving.
        LeavingServers(Vec<IpAddr>),
        /// Asks another zone's home whether it too finds the primary of a database gone.
        ConfirmSuspicion {
            /// The database.
            database: DatabaseName,
            /// The term of the suspected primary.
            term: Term,
        },
        /// The answer.
        Suspicion {
            /// The database.
            database: DatabaseName,
            /// The term asked about, or a higher one that the sender knows of.
            term: Term,
            /// Whether the sender finds the primary gone too.
            confirmed: bool,
        },
        /// A primary was promoted: homes learn of it without waiting for their next status.
        Promoted {
            /// The database.
            database: DatabaseName,
            /// The new term.
            term: Term,
        },
    }
}
