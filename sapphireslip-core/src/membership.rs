//! Which VMs take part, learnt by probing peers of the same zone and from the platform's list.
//!
//! This module keeps the records and the rules by which one supersedes another; probing is in
//! `probe` and `suspicion`, the exchange of lists in `vm_exchange`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::derives::data;
use crate::placement::Candidate;
use crate::probe::Prober;
use crate::vm_exchange::VmExchange;
use crate::vm_news::VmNews;
use crate::{
    ChangeCount, Cx, Incarnation, Instant, Local, SUSPECT_TIMEOUT, TimelineEntry, TimelineKind,
    VmId, VmRecord, VmState, ZoneName,
};

/// The most VMs that are kept, those gone included.
pub const MEMBERS_MAX: usize = 4096;

/// How long the record of a dead VM is kept, so that old news does not revive it.
pub const DEAD_KEEP: Duration = Duration::from_secs(2 * 60 * 60);

data! {
    /// What this daemon knows of all VMs.
    pub struct Membership {
        local: VmId,
        zone: ZoneName,
        members: BTreeMap<VmId, Member>,
        usable: BTreeMap<ZoneName, Vec<Candidate>>,
        version: u64,
        is_relay: bool,
        /// The count of configuration changes that goes out with probes.
        pub(crate) changes: ChangeCount,
        pub(crate) news: VmNews,
        pub(crate) prober: Prober,
        pub(crate) exchange: VmExchange,
    }

    /// A VM's record and when it was last touched.
    pub(crate) struct Member {
        pub(crate) record: VmRecord,
        /// When the record last changed.
        pub(crate) changed: Instant,
        /// When the VM itself last sent anything.
        pub(crate) heard: Option<Instant>,
        /// When it counts as dead unless it is heard from.
        pub(crate) dead_at: Option<Instant>,
    }
}

impl Membership {
    /// Returns what a daemon knows at its start: itself and the peers of its settings.
    ///
    /// ```
    /// use sapphireslip_core::{Incarnation, Local, Membership, VmId, ZoneName};
    /// let local = Local {
    ///     vm: VmId::try_from("vm-1")?,
    ///     zone: ZoneName::try_from("a")?,
    ///     address: "10.0.0.1:7000".parse()?,
    ///     incarnation: Incarnation(1),
    /// };
    /// let membership = Membership::new(&local, Vec::new());
    /// assert_eq!(membership.address(&local.vm), Some(local.address));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn new(local: &Local, seeds: Vec<VmRecord>) -> Self {
        let mut membership = Self {
            local: local.vm.clone(),
            zone: local.zone.clone(),
            members: BTreeMap::new(),
            usable: BTreeMap::new(),
            version: 0,
            is_relay: false,
            changes: ChangeCount::default(),
            news: VmNews::default(),
            prober: Prober::default(),
            exchange: VmExchange::default(),
        };
        let own = VmRecord {
            vm: local.vm.clone(),
            zone: local.zone.clone(),
            address: local.address,
            incarnation: local.incarnation,
            state: VmState::Alive,
        };
        let others = seeds.into_iter().filter(|seed| seed.vm != local.vm);
        for record in others.chain([own]).take(MEMBERS_MAX) {
            membership.put(record, Instant::default());
        }
        membership
    }

    /// Returns all records, this daemon's own included.
    pub fn records(&self) -> impl Iterator<Item = &VmRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the record of a VM.
    #[must_use]
    pub fn record(&self, vm: &VmId) -> Option<&VmRecord> {
        self.members.get(vm).map(|member| &member.record)
    }

    /// Returns where a VM's daemon takes calls from peers.
    #[must_use]
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.record(vm).map(|record| record.address)
    }

    /// Returns a number that rises with each change that may move a home.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns this daemon's VM.
    pub(crate) const fn local(&self) -> &VmId {
        &self.local
    }

    /// Returns this daemon's zone.
    pub(crate) const fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the VMs of a zone that may be given work, this daemon's own included.
    pub(crate) fn usable(&self, zone: &ZoneName) -> &[Candidate] {
        self.usable.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the zones that have a usable VM.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.usable.keys()
    }

    /// Returns the usable VMs of this zone, without this daemon's own.
    pub(crate) fn zone_peers(&self) -> Vec<VmId> {
        let others = self
            .usable(&self.zone)
            .iter()
            .map(|candidate| &candidate.vm);
        others.filter(|vm| **vm != self.local).cloned().collect()
    }

    /// Returns whether this daemon is a relay of its zone.
    pub(crate) const fn is_relay(&self) -> bool {
        self.is_relay
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(crate) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    pub(crate) fn member(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    pub(crate) fn member_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        self.members.get_mut(vm)
    }

    /// Takes a record if it supersedes what is known; returns whether it does.
    pub(crate) fn merge(&mut self, cx: &mut Cx<'_>, given: VmRecord) -> bool {
        if given.vm == self.local {
            return self.merge_own(cx, &given);
        }
        let superseded = match self.member(&given.vm) {
            Some(member) => rank(&given) > rank(&member.record),
            None => self.make_room(),
        };
        if superseded {
            let suspect = (given.state == VmState::Suspect).then(|| given.vm.clone());
            self.set(cx, given);
            // The suspect may have answered by now whoever named it: it is asked, and told, here
            // too.
            if let Some(vm) = suspect {
                self.probe(cx, vm, None);
            }
        }
        superseded
    }

    /// Answers what others say of this daemon: it refutes its death by a higher incarnation,
    /// and tells its zone before anyone's time for suspicion is over.
    fn merge_own(&mut self, cx: &mut Cx<'_>, given: &VmRecord) -> bool {
        let Some(own) = self.record(&self.local).cloned() else {
            return false;
        };
        if rank(given) <= rank(&own) {
            return false;
        }
        let is_same_run = given.incarnation == own.incarnation;
        let mut own = own;
        if is_same_run && given.state == VmState::Leaving {
            own.state = VmState::Leaving;
        } else {
            own.incarnation = Incarnation(given.incarnation.0.saturating_add(1));
        }
        self.set(cx, own.clone());
        self.tell_zone(cx, &[own]);
        true
    }

    /// Sets a record, whatever was known, and tells others.
    pub(crate) fn set(&mut self, cx: &mut Cx<'_>, given: VmRecord) {
        let vm = given.vm.clone();
        let state = given.state;
        let before = self.record(&vm).map(|record| record.state);
        let suspect = state == VmState::Suspect;
        self.put(given, cx.now.instant);
        if let Some(member) = self.members.get_mut(&vm) {
            member.dead_at = suspect.then(|| cx.now.instant + SUSPECT_TIMEOUT);
            if let Some(at) = member.dead_at {
                self.prober.plan(cx, at);
            }
        }
        self.news.add(vm.clone());
        if before != Some(state) {
            let detail = Arc::from(format!("{state:?}").to_lowercase());
            cx.record(
                TimelineEntry::of(TimelineKind::VmChanged)
                    .peer(&vm)
                    .detail(&detail),
            );
        }
    }

    fn put(&mut self, given: VmRecord, now: Instant) {
        let vm = given.vm.clone();
        let zone = given.zone.clone();
        let before = self.record(&vm).cloned();
        let heard = self.member(&vm).and_then(|member| member.heard);
        let member = Member {
            record: given,
            changed: now,
            heard,
            dead_at: None,
        };
        let moved = placed_in(before.as_ref()) != placed_in(Some(&member.record));
        self.members.insert(vm, member);
        if moved {
            self.version += 1;
            self.index(&zone);
            if let Some(before) = before.filter(|before| before.zone != zone) {
                self.index(&before.zone);
            }
        }
    }

    /// Lists anew the usable VMs of a zone.
    fn index(&mut self, zone: &ZoneName) {
        let placed = self
            .records()
            .filter(|record| placed_in(Some(record)) == Some(zone));
        let candidates: Vec<_> = placed
            .map(|record| Candidate::new(record.vm.clone()))
            .collect();
        if candidates.is_empty() {
            self.usable.remove(zone);
        } else {
            self.usable.insert(zone.clone(), candidates);
        }
        self.is_relay = self.relays(&self.zone).contains(&self.local);
    }

    /// Makes room for one more member by forgetting the one that has been dead longest.
    fn make_room(&mut self) -> bool {
        if self.members.len() < MEMBERS_MAX {
            return true;
        }
        let dead = self
            .members()
            .filter(|member| member.record.state == VmState::Dead);
        let Some(oldest) = dead.min_by_key(|member| member.changed) else {
            return false;
        };
        let vm = oldest.record.vm.clone();
        self.forget(&vm);
        true
    }

    fn forget(&mut self, vm: &VmId) {
        self.members.remove(vm);
        self.news.remove(vm);
    }

    /// Forgets the VMs that have been dead for long.
    pub(crate) fn forget_dead(&mut self, now: Instant) {
        let is_old = |member: &&Member| {
            member.record.state == VmState::Dead && now.since(member.changed) > DEAD_KEEP
        };
        let old: Vec<_> = self
            .members()
            .filter(is_old)
            .map(|member| member.record.vm.clone())
            .collect();
        for vm in old {
            self.forget(&vm);
        }
    }
}

/// Returns what orders the records of one VM: a higher incarnation wins, then the worse state.
fn rank(record: &VmRecord) -> (Incarnation, VmState) {
    (record.incarnation, record.state)
}

/// Returns the zone in which a VM may be given work.
fn placed_in(record: Option<&VmRecord>) -> Option<&ZoneName> {
    let record = record?;
    matches!(record.state, VmState::Alive | VmState::Suspect).then_some(&record.zone)
}
