//! The bounded queue of one database.

use std::collections::{BTreeMap, VecDeque};

use crate::derives::data;
use crate::{RequestId, ServiceName};

/// The most requests queued for one database, whatever the documents allow.
pub const QUEUE_MAX: usize = 4_096;

data! {
    /// Requests in the order of their arrival, each service within its own share.
    #[derive(Default)]
    pub struct Queue {
        order: VecDeque<Waiting>,
        counts: BTreeMap<ServiceName, u32>,
    }

    /// One queued request.
    struct Waiting {
        id: RequestId,
        service: ServiceName,
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
        self.order.push_back(Waiting {
            id,
            service: service.clone(),
        });
        true
    }

    /// Puts a request that was queued before back to the front, whatever the bounds: it was
    /// counted when it was let in, and there are only so many running.
    pub(crate) fn push_front(&mut self, id: RequestId, service: &ServiceName) {
        *self.counts.entry(service.clone()).or_default() += 1;
        self.order.push_front(Waiting {
            id,
            service: service.clone(),
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
        let Some(place) = self.order.iter().position(|waiting| waiting.id == *id) else {
            return false;
        };
        if let Some(waiting) = self.order.remove(place) {
            self.release(&waiting.service);
        }
        true
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
