//! The bounded queue of one database.

use std::collections::{BTreeMap, VecDeque};

use crate::derives::data;
use crate::queue_need::{Arrivals, Need, ServerSet};
use crate::{Instant, RequestId, ServiceName};

/// The most requests queued for one database, whatever the documents allow.
pub const QUEUE_MAX: usize = 4_096;

data! {
    /// Requests in the order of their arrival, each service within its own share.
    #[derive(Default)]
    pub struct Queue {
        order: VecDeque<Waiting>,
        counts: BTreeMap<ServiceName, u32>,
        pub(crate) arrivals: Arrivals,
        /// The place from which on requests have not been looked at.
        unseen_from: usize,
        news_waiters: usize,
        /// The news with which all were last looked at.
        all_seen: u64,
    }

    /// One queued request.
    struct Waiting {
        id: RequestId,
        service: ServiceName,
        /// What it waits for; none before the first look.
        need: Option<Need>,
        /// The news at its last look.
        seen: u64,
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
        self.unseen_from = self.unseen_from.min(self.order.len());
        self.order.push_back(Waiting {
            id,
            service: service.clone(),
            need: None,
            seen: 0,
        });
        true
    }

    /// Puts a request that was queued before back to the front, whatever the bounds: it was
    /// counted when it was let in, and there are only so many running.
    pub(crate) fn push_front(&mut self, id: RequestId, service: &ServiceName) {
        *self.counts.entry(service.clone()).or_default() += 1;
        self.unseen_from = 0;
        self.order.push_front(Waiting {
            id,
            service: service.clone(),
            need: None,
            seen: 0,
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
        let place = match is_last {
            true => Some(self.order.len() - 1),
            false => self.order.iter().position(|waiting| waiting.id == *id),
        };
        let Some(waiting) = place.and_then(|place| self.order.remove(place)) else {
            return false;
        };
        if place < Some(self.unseen_from) {
            self.unseen_from -= 1;
        }
        self.news_waiters -= usize::from(waiting.need.is_some_and(|need| need.news));
        self.release(&waiting.service);
        true
    }

    /// Has all requests looked at anew, whatever they wait for.
    pub(crate) fn wake_all(&mut self) {
        self.unseen_from = 0;
        self.news_waiters = 0;
        for waiting in &mut self.order {
            waiting.need = None;
        }
    }

    /// Returns the first place from `place` on whose request is to be looked at now.
    pub(crate) fn next_due(
        &mut self,
        place: usize,
        now: Instant,
        free: ServerSet,
    ) -> Option<(usize, RequestId)> {
        self.arrivals.release_news(now, self.news_waiters);
        let is_met = self.arrivals.meet_any(self.all_seen, now, free);
        let start = if is_met {
            place
        } else {
            place.max(self.unseen_from)
        };
        let due = |waiting: &Waiting| {
            let need = waiting.need.as_ref();
            need.is_none_or(|need| self.arrivals.meet(need, waiting.seen, now, free))
        };
        let place = (start..self.order.len()).find(|place| due(&self.order[*place]))?;
        Some((place, self.order[place].id.clone()))
    }

    /// Notes what the request at a place waits for, if it is still there.
    pub(crate) fn set_need(&mut self, place: usize, id: &RequestId, need: Need) {
        let Some(waiting) = self.order.get_mut(place).filter(|w| w.id == *id) else {
            return;
        };
        self.news_waiters -= usize::from(waiting.need.is_some_and(|need| need.news));
        self.news_waiters += usize::from(need.news);
        waiting.need = Some(need);
        waiting.seen = self.arrivals.news();
        self.arrivals.add_need(need);
    }

    /// Ends a look at all that were due.
    pub(crate) fn end_look(&mut self, now: Instant, free: ServerSet) {
        self.unseen_from = self.order.len();
        if !self.arrivals.meet_any(self.all_seen, now, free) {
            return;
        }
        self.all_seen = self.arrivals.news();
        self.arrivals.forget_needs();
        for waiting in &self.order {
            if let Some(need) = waiting.need {
                self.arrivals.add_need(need);
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
