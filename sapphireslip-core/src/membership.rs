//! The VMs that run daemons, learned by probing peers and from the platform's list.
//!
//! This module holds the records and the rules by which one supersedes another. Probing is in
//! `probe` and `vm_suspicion`, the exchange of lists in `vm_exchange`.

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

/// The maximum number of VMs that are kept, dead ones included.
pub const MEMBERS_MAX: usize = 4096;

/// How long the record of a dead VM is kept, so that outdated news cannot revive it.
pub const DEAD_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);

data! {
    /// A daemon's knowledge of all VMs.
    pub struct Membership {
        /// The VM that this daemon runs on.
        local: VmId,
        /// The zone of this daemon's VM.
        zone: ZoneName,
        /// All known VMs, including this daemon's own.
        members: BTreeMap<VmId, Member>,
        /// For each zone, the VMs that may be given work, that is, the alive and the suspect ones.
        usable: BTreeMap<ZoneName, Vec<Candidate>>,
        /// The number of changes so far that may move a home to another VM.
        version: u64,
        /// Whether this daemon currently is a relay of its zone: one of the few VMs of a zone that
        /// read from the platform and pass news between zones.
        is_relay: bool,
        /// The number of configuration changes that this daemon has applied, sent along with
        /// probes.
        pub(crate) changes: ChangeCount,
        /// The records that are still to be sent along with probes.
        pub(crate) news: VmNews,
        /// The pending probes and the schedule of the next ones.
        pub(crate) prober: Prober,
        /// The state of requests for lists of VMs.
        pub(crate) exchange: VmExchange,
    }

    /// A VM's record and the times that failure detection needs.
    pub(crate) struct Member {
        /// The record that currently applies to the VM.
        pub(crate) record: VmRecord,
        /// When the record last changed.
        pub(crate) changed: Instant,
        /// When the VM last sent this daemon a message.
        pub(crate) last_heard: Option<Instant>,
        /// When the VM will be declared dead unless it is heard from.
        pub(crate) dead_at: Option<Instant>,
    }
}

impl Membership {
    /// Returns the knowledge of a daemon that has just started: itself and the peers in its
    /// settings.
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

    /// Returns the address at which a VM's daemon accepts connections from peers.
    #[must_use]
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.record(vm).map(|record| record.address)
    }

    /// Returns a number that increases with each change that may move a home to another VM.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the VM that this daemon runs on.
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

    /// Returns all known VMs, including this daemon's own.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns all known VMs for modification.
    pub(crate) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    /// Returns a known VM.
    pub(crate) fn member(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns a known VM for modification.
    pub(crate) fn member_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        self.members.get_mut(vm)
    }

    /// Stores a record if it supersedes the known one; returns whether it does.
    pub(crate) fn merge(&mut self, cx: &mut Cx<'_>, given: VmRecord) -> bool {
        if given.vm == self.local {
            return self.merge_own(cx, &given);
        }
        let supersedes = match self.member(&given.vm) {
            Some(member) => rank(&given) > rank(&member.record),
            None => self.make_room(),
        };
        if supersedes {
            let suspect = (given.state == VmState::Suspect).then(|| given.vm.clone());
            self.set(cx, given);
            // The VM may have answered the daemon that suspects it in the meantime. It is probed
            // from here too, which also tells it about the suspicion.
            if let Some(vm) = suspect {
                self.probe(cx, vm, None);
            }
        }
        supersedes
    }

    /// Handles a record of this daemon sent by others. A record that says that this run is leaving
    /// is adopted. A false suspicion or death, or a record of a higher incarnation, is refuted with
    /// a still higher incarnation, sent to the whole zone at once so that it arrives before the
    /// suspicion times out there.
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
        self.send_to_zone(cx, &[own]);
        true
    }

    /// Stores a record unconditionally and schedules it to be sent to peers.
    pub(crate) fn set(&mut self, cx: &mut Cx<'_>, given: VmRecord) {
        let vm = given.vm.clone();
        let state = given.state;
        let before = self.record(&vm).map(|record| record.state);
        let suspect = state == VmState::Suspect;
        self.put(given, cx.now.instant);
        if let Some(member) = self.members.get_mut(&vm) {
            member.dead_at = suspect.then(|| cx.now.instant + SUSPECT_TIMEOUT);
            if let Some(at) = member.dead_at {
                self.prober.schedule_tick(cx, at);
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

    /// Stores a record, and counts a new version if the set of usable VMs changes.
    fn put(&mut self, given: VmRecord, now: Instant) {
        let vm = given.vm.clone();
        let zone = given.zone.clone();
        let before = self.record(&vm).cloned();
        let last_heard = self.member(&vm).and_then(|member| member.last_heard);
        let member = Member {
            record: given,
            changed: now,
            last_heard,
            dead_at: None,
        };
        let moved = assignable_zone(before.as_ref()) != assignable_zone(Some(&member.record));
        self.members.insert(vm, member);
        if moved {
            self.version += 1;
            self.index(&zone);
            if let Some(before) = before.filter(|before| before.zone != zone) {
                self.index(&before.zone);
            }
        }
    }

    /// Rebuilds the list of usable VMs of a zone, and updates whether this daemon is a relay.
    fn index(&mut self, zone: &ZoneName) {
        let placed = self
            .records()
            .filter(|record| assignable_zone(Some(record)) == Some(zone));
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

    /// Makes room for one more VM by dropping the one that has been dead longest; returns false if
    /// no VM is dead and there is no room.
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

    /// Drops a VM's record and any news of it.
    fn forget(&mut self, vm: &VmId) {
        self.members.remove(vm);
        self.news.remove(vm);
    }

    /// Drops the VMs that have been dead for longer than [`DEAD_RETENTION`].
    pub(crate) fn forget_dead(&mut self, now: Instant) {
        let is_old = |member: &&Member| {
            member.record.state == VmState::Dead && now.since(member.changed) > DEAD_RETENTION
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

/// Returns the key that orders the records of one VM: a higher incarnation wins, then the worse
/// state.
fn rank(record: &VmRecord) -> (Incarnation, VmState) {
    (record.incarnation, record.state)
}

/// Returns the zone in which a VM may be given work, or `None` if it may not.
fn assignable_zone(record: Option<&VmRecord>) -> Option<&ZoneName> {
    let record = record?;
    matches!(record.state, VmState::Alive | VmState::Suspect).then_some(&record.zone)
}
