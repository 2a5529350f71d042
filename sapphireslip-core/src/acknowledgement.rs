//! Writes that wait to be acknowledged until a majority of the group holds them.

use std::ops::Bound;

use crate::derives::data;
use crate::job::Stage;
use crate::{
    Cx, Holding, Home, Outcome, RefusalReason, RequestId, Term, TermPosition, TimelineKind,
    Verdict, Visibility,
};

data! {
    /// A write whose record is not known to be held by a majority yet; ordered by the record.
    #[derive(Ord, PartialOrd)]
    pub(crate) struct UnacknowledgedWrite {
        /// The record that the write committed.
        pub(crate) record: TermPosition,
        /// The request that sent the write.
        pub(crate) id: RequestId,
    }
}

impl Home {
    /// Delays a request's final answer until a majority holds `record`.
    pub(crate) fn acknowledge(&mut self, id: &RequestId, record: TermPosition, verdict: Verdict) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.stage = Stage::Acknowledging { record, verdict };
            self.unacknowledged_writes.insert(UnacknowledgedWrite {
                record,
                id: id.clone(),
            });
        }
    }

    /// Removes a request from those that wait for a majority to hold their record.
    pub(crate) fn forget_unacknowledged(&mut self, record: TermPosition, id: &RequestId) {
        self.unacknowledged_writes.remove(&UnacknowledgedWrite {
            record,
            id: id.clone(),
        });
    }

    /// Sends the final answers of all writes whose records a majority now holds.
    ///
    /// Servers hold a log without gaps: if one record of a term is pending, so are the later ones.
    pub(crate) fn answer_held_writes(&mut self, cx: &mut Cx<'_>) {
        let mut next = self.unacknowledged_writes.first().cloned();
        while let Some(write) = next {
            let UnacknowledgedWrite { record, id } = &write;
            let outcome = self.outcome_of(*record);
            match outcome {
                Holding::Majority => {
                    if let Some(verdict) = self.verdict_of(id) {
                        self.finish(cx, id, *record, verdict);
                    }
                }
                Holding::Pending => {}
                Holding::Superseded => self.on_lost_record(cx, *record, id),
            }
            next = match outcome {
                Holding::Pending if self.group.highest_term() <= record.term => {
                    self.first_of_later_term(record.term)
                }
                _ => self.first_after(write),
            };
        }
    }

    /// Returns how a waiting request ends once a majority holds its record.
    fn verdict_of(&self, id: &RequestId) -> Option<Verdict> {
        match &self.jobs.get(id)?.stage {
            Stage::Acknowledging { verdict, .. } => Some(verdict.clone()),
            Stage::Queued | Stage::Running(_) => None,
        }
    }

    /// Returns the waiting write that follows `write`.
    fn first_after(&self, write: UnacknowledgedWrite) -> Option<UnacknowledgedWrite> {
        let after = (Bound::Excluded(write), Bound::Unbounded);
        self.unacknowledged_writes.range(after).next().cloned()
    }

    /// Returns the first waiting write of a term above `term`.
    fn first_of_later_term(&self, term: Term) -> Option<UnacknowledgedWrite> {
        let later = |write: &&UnacknowledgedWrite| write.record.term > term;
        self.unacknowledged_writes
            .iter()
            .rev()
            .take_while(later)
            .last()
            .cloned()
    }

    /// Returns whether a majority holds a record. `Superseded` means that the log of a later open
    /// term is known not to contain it.
    ///
    /// A term is open only once a majority holds its first record. An earlier record that is
    /// visible at the term's primary is therefore held by that majority too.
    fn outcome_of(&self, record: TermPosition) -> Holding {
        let holding = self.group.holding(record);
        if holding != Holding::Superseded {
            return holding;
        }
        let Some(primary) = self.group.primary() else {
            return Holding::Pending;
        };
        match self.group.visibility(&primary.server, record) {
            Visibility::Visible if primary.term > record.term => Holding::Majority,
            Visibility::Visible | Visibility::Behind => Holding::Pending,
            Visibility::LostBranch => Holding::Superseded,
        }
    }

    /// Ends a request whose record a majority holds: sends its final answer, or refuses it if it is
    /// proven never to run.
    fn finish(&mut self, cx: &mut Cx<'_>, id: &RequestId, record: TermPosition, verdict: Verdict) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match verdict {
            Verdict::Done => {
                if let Some(keyed) = &job.keyed {
                    let answer = keyed.answer().to_vec();
                    job.replace_buffer(answer);
                }
            }
            Verdict::Recorded(answer) => job.replace_buffer(answer.to_vec()),
            Verdict::NeverRuns(reason) => {
                job.note_never_runs();
                let detail = "the request key was claimed before the request could run";
                self.refuse(cx, id, reason, detail);
                return;
            }
        }
        self.record(cx, TimelineKind::RequestAcknowledged, id, None, "");
        self.end(cx, id, Outcome::Done, Some(record));
    }

    /// Handles a write whose record was discarded with the primary that wrote it: checks by its
    /// request key whether it ran, or refuses it as possibly run.
    fn on_lost_record(&mut self, cx: &mut Cx<'_>, record: TermPosition, id: &RequestId) {
        self.forget_unacknowledged(record, id);
        if self.jobs.get(id).is_some_and(|job| job.keyed.is_some()) {
            self.resolve(cx, id);
            return;
        }
        let detail = "the primary was superseded before a majority of the servers held the write";
        self.refuse_unknown(cx, id, RefusalReason::AnswerLost, detail);
    }
}
