//! The bounded queue of one database.

use std::collections::{BTreeMap, VecDeque};

use crate::derives::data;
use crate::queue_wait::{ServerSet, WaitCondition, WakeConditions};
use crate::{Instant, RequestId, ServiceName};

/// The most requests queued for one database, whatever the documents allow.
pub const QUEUE_MAX: usize = 4_096;

data! {
    /// Requests in the order of their arrival, each service within its own share.
    #[derive(Default)]
    pub struct Queue {
        order: VecDeque<Waiting>,
        counts: BTreeMap<ServiceName, u32>,
        pub(crate) wake_conditions: WakeConditions,
        /// The place from which on requests have not been looked at.
        unchecked_from: usize,
        update_waiters: usize,
        /// The news with which all were last looked at.
        last_full_scan_update: u64,
    }

    /// One queued request.
    struct Waiting {
        id: RequestId,
        service: ServiceName,
        /// What it waits for; none before the first look.
        condition: Option<WaitCondition>,
        /// The news at its last look.
        last_checked_update: u64,
    }
}

impl Queue {
    /// Appends a request; returns false if the queue or the service's share of it is full.
    ///
    /// ```
    /// use sapphireslip_core::{Incarnation, Queue, RequestId, RequestNumber, ServiceName, VmId};
    /// let service = ServiceName::try_from("pooler")?;
    /// let id = |number| RequestId {
    ///     entry: VmId::try_from("vm-1").unwrap(),
    ///     incarnation: Incarnation(1),
    ///     number: RequestNumber(number),
    /// };
    /// let mut queue = Queue::default();
    /// assert!(queue.push(id(1), &service, 1));
    /// assert!(!queue.push(id(2), &service, 1));
    /// # Ok::<(), sapphireslip_core::NameError>(())
    /// ```
    pub fn push(&mut self, id: RequestId, service: &ServiceName, share: u32) -> bool {
        let count = self.counts.get(service).copied().unwrap_or(0);
        if self.order.len() >= QUEUE_MAX || count >= share {
            return false;
        }
        self.counts.insert(service.clone(), count + 1);
        self.unchecked_from = self.unchecked_from.min(self.order.len());
        self.order.push_back(Waiting {
            id,
            service: service.clone(),
            condition: None,
            last_checked_update: 0,
        });
        true
    }

    /// Puts a request that was queued before back to the front, whatever the bounds: it was
    /// counted when it was let in, and there are only so many running.
    pub(crate) fn push_front(&mut self, id: RequestId, service: &ServiceName) {
        *self.counts.entry(service.clone()).or_default() += 1;
        self.unchecked_from = 0;
        self.order.push_front(Waiting {
            id,
            service: service.clone(),
            condition: None,
            last_checked_update: 0,
        });
    }

    /// Removes a request; returns false if it isn't queued.
    ///
    /// ```
    /// use sapphireslip_core::{Incarnation, Queue, RequestId, RequestNumber, VmId};
    /// let id = RequestId {
    ///     entry: VmId::try_from("vm-1")?,
    ///     incarnation: Incarnation(1),
    ///     number: RequestNumber(1),
    /// };
    /// assert!(!Queue::default().remove(&id));
    /// # Ok::<(), sapphireslip_core::NameError>(())
    /// ```
    pub fn remove(&mut self, id: &RequestId) -> bool {
        let is_last = self.order.back().is_some_and(|waiting| waiting.id == *id);
        let index = match is_last {
            true => Some(self.order.len() - 1),
            false => self.order.iter().position(|waiting| waiting.id == *id),
        };
        let Some(waiting) = index.and_then(|index| self.order.remove(index)) else {
            return false;
        };
        if index < Some(self.unchecked_from) {
            self.unchecked_from -= 1;
        }
        self.update_waiters -= usize::from(waiting.condition.is_some_and(|c| c.wants_group_update));
        self.release(&waiting.service);
        true
    }

    /// Has all requests looked at anew, whatever they wait for.
    pub(crate) fn wake_all(&mut self) {
        self.unchecked_from = 0;
        self.update_waiters = 0;
        for waiting in &mut self.order {
            waiting.condition = None;
        }
    }

    /// Returns the first place from `place` on whose request is to be looked at now.
    pub(crate) fn next_ready(
        &mut self,
        index: usize,
        now: Instant,
        free: ServerSet,
    ) -> Option<(usize, RequestId)> {
        self.wake_conditions
            .publish_group_update(now, self.update_waiters);
        let is_met = self
            .wake_conditions
            .is_any_met(self.last_full_scan_update, now, free);
        let start = if is_met {
            index
        } else {
            index.max(self.unchecked_from)
        };
        let due = |waiting: &Waiting| {
            let condition = waiting.condition.as_ref();
            condition.is_none_or(|condition| {
                self.wake_conditions
                    .is_met(condition, waiting.last_checked_update, now, free)
            })
        };
        let index = (start..self.order.len()).find(|index| due(&self.order[*index]))?;
        Some((index, self.order[index].id.clone()))
    }

    /// Notes what the request at a place waits for, if it is still there.
    pub(crate) fn set_wait_condition(
        &mut self,
        index: usize,
        id: &RequestId,
        condition: WaitCondition,
    ) {
        let Some(waiting) = self.order.get_mut(index).filter(|w| w.id == *id) else {
            return;
        };
        self.update_waiters -= usize::from(waiting.condition.is_some_and(|c| c.wants_group_update));
        self.update_waiters += usize::from(condition.wants_group_update);
        waiting.condition = Some(condition);
        waiting.last_checked_update = self.wake_conditions.update_count();
        self.wake_conditions.add_condition(condition);
    }

    /// Ends a look at all that were due.
    pub(crate) fn finish_scan(&mut self, now: Instant, free: ServerSet) {
        self.unchecked_from = self.order.len();
        if !self
            .wake_conditions
            .is_any_met(self.last_full_scan_update, now, free)
        {
            return;
        }
        self.last_full_scan_update = self.wake_conditions.update_count();
        self.wake_conditions.clear_combined();
        for waiting in &self.order {
            if let Some(condition) = waiting.condition {
                self.wake_conditions.add_condition(condition);
            }
        }
    }

    /// Returns the queued requests in order.
    pub fn ids(&self) -> impl Iterator<Item = &RequestId> {
        self.order.iter().map(|waiting| &waiting.id)
    }

    /// Returns how many requests are queued.
    ///
    /// ```
    /// assert_eq!(sapphireslip_core::Queue::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether none is queued.
    ///
    /// ```
    /// assert!(sapphireslip_core::Queue::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn release(&mut self, service: &ServiceName) {
        let Some(count) = self.counts.get_mut(service) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(service);
        }
    }
}
