//! The bounded queue of the requests of one database, with a share for each service.

use std::collections::{BTreeMap, VecDeque};

use crate::derives::data;
use crate::queue_wait::{ServerSet, WaitCondition, WakeConditions};
use crate::{Instant, RequestId, ServiceName};

/// The most requests queued for one database, even if the documents allow more.
pub const QUEUE_MAX: usize = 4_096;

data! {
    /// Requests that wait for a connection, in the order of their arrival; a service may only have
    /// as many queued as its share allows.
    ///
    /// A request is checked again only once its wait condition may be met.
    #[derive(Default)]
    pub struct Queue {
        /// The queued requests, first to be served first.
        order: VecDeque<Waiting>,
        /// How many requests of each service are queued; services without any are absent.
        counts: BTreeMap<ServiceName, u32>,
        /// The union of all wait conditions, and the group updates so far.
        pub(crate) wake_conditions: WakeConditions,
        /// All requests below this index in `order` have been checked and have a wait condition.
        unchecked_from: usize,
        /// How many queued requests wait for a group update.
        update_waiters: usize,
        /// The count of group updates when all requests whose condition was met were last checked.
        last_full_scan_update: u64,
    }

    /// A queued request.
    struct Waiting {
        /// The id of the request.
        id: RequestId,
        /// The service whose share the request counts against.
        service: ServiceName,
        /// What the request waits for; none until it is checked, so that it is checked next.
        condition: Option<WaitCondition>,
        /// The count of group updates when the request was last checked.
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

    /// Puts a request that was queued before back to the front of the queue.
    ///
    /// The bounds don't apply: the request was admitted within them, and the number of running
    /// requests is limited.
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

    /// Makes all requests due for a check, whatever they wait for.
    pub(crate) fn wake_all(&mut self) {
        self.unchecked_from = 0;
        self.update_waiters = 0;
        for waiting in &mut self.order {
            waiting.condition = None;
        }
    }

    /// Returns the first request at or after `index` that is due for a check, with its index.
    ///
    /// `free` are the servers that have a free connection.
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

    /// Sets what the request at `index` waits for; does nothing if another request is there.
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

    /// Ends a scan of the queue in which all requests that were due have been checked.
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

    /// Returns whether no request is queued.
    ///
    /// ```
    /// assert!(sapphireslip_core::Queue::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Counts one request less for a service.
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
