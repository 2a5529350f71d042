//! Requests to promote that got no answer and may still take effect.

use std::collections::BTreeMap;

use sapphireslip_core::{Instant, ServerId, ServiceName, data};

use crate::PromoteOutcome;
use crate::coordinator::PROMOTION_DELAY_MAX;

data! {
    /// The requests of this daemon, and of an earlier coordinator, whose effect is open.
    ///
    /// One that was answered needs no place here: it takes effect after the usual time of a promotion, before
    /// any that is answered later.
    #[derive(Default)]
    pub(crate) struct PromotionRequests {
        by_service: BTreeMap<ServiceName, Requests>,
    }

    /// The open requests to promote one server.
    struct Requests {
        /// The server that was to be promoted.
        server: ServerId,
        /// The number of requests that are under way.
        under_way: usize,
        /// The time until which one that got no answer may take effect.
        until: Instant,
    }
}

impl PromotionRequests {
    /// Records that a request to promote a server is sent at `now`.
    pub(crate) fn note_sent(&mut self, now: Instant, service: &ServiceName, server: &ServerId) {
        let known = self.by_service.remove(service);
        let known = known.filter(|known| known.server == *server);
        let mut requests = known.unwrap_or_else(|| Requests {
            server: server.clone(),
            under_way: 0,
            until: now,
        });
        requests.under_way += 1;
        self.by_service.insert(service.clone(), requests);
    }

    /// Records the answer to a request that was sent no later than `sent`.
    pub(crate) fn note_answer(
        &mut self,
        sent: Instant,
        service: &ServiceName,
        outcome: &PromoteOutcome,
    ) {
        let Some(requests) = self.by_service.get_mut(service) else {
            return;
        };
        requests.under_way = requests.under_way.saturating_sub(1);
        if *outcome == PromoteOutcome::Unknown {
            requests.until = requests.until.max(sent + PROMOTION_DELAY_MAX);
        }
    }

    /// Records that an earlier coordinator may have asked for the promotion of a server until `now`.
    pub(crate) fn note_earlier(&mut self, now: Instant, service: &ServiceName, server: &ServerId) {
        let requests = Requests {
            server: server.clone(),
            under_way: 0,
            until: now + PROMOTION_DELAY_MAX,
        };
        self.by_service.insert(service.clone(), requests);
    }

    /// Returns whether a server of a service other than `server` may still be promoted by a request that
    /// got no answer.
    pub(crate) fn may_promote_other(
        &self,
        now: Instant,
        service: &ServiceName,
        server: &ServerId,
    ) -> bool {
        let requests = self.by_service.get(service);
        requests.is_some_and(|requests| {
            requests.server != *server && (requests.under_way > 0 || now < requests.until)
        })
    }
}
