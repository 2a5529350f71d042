//! Conversion of the platform's list of VMs and of leaving backend servers.

use std::net::IpAddr;

use sapphireslip_core::{Incarnation, VmRecord, VmState};

use crate::field::{address, enumeration, ip, list, name};
use crate::{WireError, platform};

/// The platform's list after validation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmList {
    /// The VMs of the system.
    pub vms: Vec<VmRecord>,
    /// The IP addresses of backend servers that are leaving.
    pub leaving_servers: Vec<IpAddr>,
}

impl TryFrom<platform::VmState> for VmState {
    type Error = platform::VmState;

    fn try_from(state: platform::VmState) -> Result<Self, platform::VmState> {
        match state {
            platform::VmState::Unspecified => Err(state),
            platform::VmState::Live => Ok(Self::Alive),
            platform::VmState::Leaving => Ok(Self::Leaving),
        }
    }
}

impl TryFrom<platform::Vm> for VmRecord {
    type Error = WireError;

    fn try_from(vm: platform::Vm) -> Result<Self, WireError> {
        Ok(Self {
            vm: name("vm", &vm.vm)?,
            zone: name("zone", &vm.zone)?,
            address: address("address", &vm.address)?,
            incarnation: Incarnation(vm.incarnation),
            state: enumeration::<platform::VmState, _>("state", vm.state)?,
        })
    }
}

impl TryFrom<platform::ListReply> for VmList {
    type Error = WireError;

    fn try_from(reply: platform::ListReply) -> Result<Self, WireError> {
        let leaving = |text: &String| ip("leaving_servers", text);
        Ok(Self {
            vms: list("vms", reply.vms)?,
            leaving_servers: reply
                .leaving_servers
                .iter()
                .map(leaving)
                .collect::<Result<_, _>>()?,
        })
    }
}
