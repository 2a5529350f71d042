//! Conversions of the parts of messages about VMs and documents.

use sapphireslip_core as core;
use sapphireslip_core::{ChangeCount, Generation, Incarnation, Local};

use crate::field::{address, enumeration, name};
use crate::{WireError, peer};

impl From<core::VmRecord> for peer::VmRecord {
    fn from(record: core::VmRecord) -> Self {
        Self {
            vm: record.vm.as_str().to_owned(),
            zone: record.zone.as_str().to_owned(),
            address: record.address.to_string(),
            incarnation: record.incarnation.0,
            state: peer::VmState::from(record.state).into(),
        }
    }
}

impl TryFrom<peer::VmRecord> for core::VmRecord {
    type Error = WireError;

    fn try_from(record: peer::VmRecord) -> Result<Self, WireError> {
        Ok(Self {
            vm: name("vm", &record.vm)?,
            zone: name("zone", &record.zone)?,
            address: address("address", &record.address)?,
            incarnation: Incarnation(record.incarnation),
            state: enumeration::<peer::VmState, _>("state", record.state)?,
        })
    }
}

impl From<Local> for peer::Hello {
    fn from(local: Local) -> Self {
        Self {
            vm: local.vm.as_str().to_owned(),
            zone: local.zone.as_str().to_owned(),
            incarnation: local.incarnation.0,
            address: local.address.to_string(),
        }
    }
}

impl TryFrom<peer::Hello> for Local {
    type Error = WireError;

    fn try_from(hello: peer::Hello) -> Result<Self, WireError> {
        Ok(Self {
            vm: name("vm", &hello.vm)?,
            zone: name("zone", &hello.zone)?,
            address: address("address", &hello.address)?,
            incarnation: Incarnation(hello.incarnation),
        })
    }
}

impl From<core::AcceptedDocument> for peer::AcceptedDocument {
    fn from(document: core::AcceptedDocument) -> Self {
        Self {
            member: document.member.as_str().to_owned(),
            service: document.service.as_str().to_owned(),
            generation: document.generation.0,
            change: document.change.0,
            text: document.text.as_ref().to_owned(),
        }
    }
}

impl TryFrom<peer::AcceptedDocument> for core::AcceptedDocument {
    type Error = WireError;

    fn try_from(document: peer::AcceptedDocument) -> Result<Self, WireError> {
        Ok(Self {
            member: name("member", &document.member)?,
            service: name("service", &document.service)?,
            generation: Generation(document.generation),
            change: ChangeCount(document.change),
            text: document.text.into(),
        })
    }
}
