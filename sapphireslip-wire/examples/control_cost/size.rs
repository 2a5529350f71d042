//! The size of the fleet at which the cost is measured, with its VMs and documents.

use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use sapphireslip_core::{
    AcceptedDocument, ChangeCount, Document, Generation, Incarnation, Local, MemberName,
    Membership, ServiceName, VmId, VmRecord, VmState, ZoneName, placement,
};
use serde::Serialize;

/// The names of the availability zones; the measured daemon is in the first one.
const ZONES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];

/// The name of the user that opens the sessions; every document allows it.
pub const USER: &str = "till";

/// The size of a fleet, as one of its daemons sees it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// The number of daemons in the measured daemon's zone, itself included.
    pub zone_daemons: usize,
    /// The number of daemons in the six other zones together.
    pub other_daemons: usize,
    /// The number of databases of which the measured daemon is a home: a daemon that keeps the
    /// connections to its servers.
    pub homes: usize,
    /// The number of documents in force, each with one database; at least `homes`.
    pub documents: usize,
    /// The number of open sessions at the measured daemon.
    pub sessions: usize,
    /// Whether the measured daemon is a relay: one of those that read the platform for their zone.
    pub relay: bool,
}

impl Size {
    /// The size that the system is designed for; every database has a home in each of the seven
    /// zones.
    pub const DESIGN: Self = Self {
        zone_daemons: 127,
        other_daemons: 763,
        homes: 13,
        documents: 1_600,
        sessions: 5_600,
        relay: false,
    };

    /// Returns the VMs of the fleet, the measured daemon's among them.
    ///
    /// # Errors
    ///
    /// A name is invalid.
    pub fn vms(&self) -> Result<Vec<VmRecord>, Box<dyn Error>> {
        let near = (0..self.zone_daemons).map(|number| (0, number));
        let zones = ZONES.len() - 1;
        let far = (0..self.other_daemons).map(|number| (1 + number % zones, number / zones));
        near.chain(far)
            .map(|(zone, number)| vm(zone, number))
            .collect()
    }

    /// Returns the measured daemon: the first in its zone that is a relay, or that is none, as
    /// wanted.
    ///
    /// # Errors
    ///
    /// The zone has no such daemon.
    pub fn local(&self, vms: &[VmRecord]) -> Result<Local, Box<dyn Error>> {
        let first = local(&vms[0]);
        let membership = Membership::new(&first, vms.to_vec());
        let relays = membership.relays(&first.zone);
        let wanted = |vm: &&VmRecord| relays.contains(&vm.vm) == self.relay;
        let found = vms.iter().filter(|vm| vm.zone == first.zone).find(wanted);
        Ok(local(found.ok_or(
            "no daemon of the first zone has the wanted role of a relay or of none",
        )?))
    }

    /// Returns the documents, chosen so that the measured daemon is a home of as many as wanted.
    ///
    /// # Errors
    ///
    /// A document is invalid.
    pub fn accepted_documents(
        &self,
        local: &Local,
        vms: &[VmRecord],
    ) -> Result<Vec<AcceptedDocument>, Box<dyn Error>> {
        let membership = Membership::new(local, vms.to_vec());
        let mut missing = [self.homes, self.documents.saturating_sub(self.homes)];
        let mut accepted_documents = Vec::new();
        let mut number = 0;
        while missing != [0, 0] {
            number += 1;
            let change = accepted_documents.len() + 1;
            let document = document(number, 1, change as u64)?;
            let checked = Document::try_from(document.text.as_bytes())?;
            let homes = placement::homes_of(&membership, &checked.databases[0]);
            let kind = usize::from(!homes.contains(&local.vm));
            if missing[kind] > 0 {
                missing[kind] -= 1;
                accepted_documents.push(document);
            }
        }
        Ok(accepted_documents)
    }
}

/// Returns the daemon of a VM as it describes itself.
fn local(vm: &VmRecord) -> Local {
    Local {
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        address: vm.address,
        incarnation: vm.incarnation,
    }
}

/// Returns the record of a VM, by the index of its zone and its number there.
fn vm(zone: usize, number: usize) -> Result<VmRecord, Box<dyn Error>> {
    let byte = |value: usize| u8::try_from(value).unwrap_or(u8::MAX);
    Ok(VmRecord {
        vm: VmId::try_from(format!("entry-{}-{number:03}", ZONES[zone]).as_str())?,
        zone: ZoneName::try_from(ZONES[zone])?,
        address: SocketAddr::from(([10, byte(zone), 0, byte(number)], 7000)),
        incarnation: Incarnation(1_796_000_000_000_000),
        state: VmState::Alive,
    })
}

/// Returns the document of the service with a number, at a generation and a count of changes. It
/// has one database with three servers and a home in each zone.
///
/// # Errors
///
/// A name is invalid.
pub fn document(
    number: u64,
    generation: u64,
    change: u64,
) -> Result<AcceptedDocument, Box<dyn Error>> {
    let service = format!("service-{number}");
    let mut text = format!(
        "service = \"{service}\"\nmember = \"member\"\ngeneration = {generation}\n\
         [limits]\nsessions = 10000\nqueued = 500\n[stop]\nbound = \"5s\"\n\
         [[caller]]\nname = \"{USER}\"\n\
         verifier = \"SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy\"\n\
         [[database]]\nname = \"database-{number}\"\nconnections = 16\nmax_staleness = \"5s\"\n\
         deadline = \"2s\"\nzones = {ZONES:?}\n"
    );
    for (server, zone) in ["a", "b", "c"].iter().enumerate() {
        write!(
            text,
            "[[database.server]]\nid = \"database-{number}-{server}\"\nzone = \"{zone}\"\n\
             address = \"10.9.{}.{}:5432\"\n",
            number % 250,
            server + 1
        )?;
    }
    Ok(AcceptedDocument {
        member: MemberName::try_from("member")?,
        service: ServiceName::try_from(service.as_str())?,
        generation: Generation(generation),
        change: ChangeCount(change),
        text: Arc::from(text),
    })
}
