//! Writes that wait until a majority of the group holds them.

use crate::job::Stage;
use crate::{
    Cx, Holding, Home, Outcome, RefusalReason, RequestId, TermPosition, TimelineKind, Verdict,
    Visibility,
};

impl Home {
    /// Holds a request's final answer back until a majority holds `record`.
    pub(crate) fn acknowledge(&mut self, id: &RequestId, record: TermPosition, verdict: Verdict) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.stage = Stage::Acknowledging { record, verdict };
            self.acknowledging.insert(id.clone());
        }
    }

    /// Gives the final answers of all writes that a majority holds by now.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>) {
        let waiting: Vec<_> = self.acknowledging.iter().cloned().collect();
        for id in waiting {
            let Some(Stage::Acknowledging { record, verdict }) =
                self.jobs.get(&id).map(|job| job.stage.clone())
            else {
                continue;
            };
            match self.outcome_of(record) {
                Holding::Majority => self.finish(cx, &id, record, verdict),
                Holding::Pending => {}
                Holding::Superseded => self.on_lost_record(cx, &id),
            }
        }
    }

    /// Returns what became of a record; `Superseded` only once it is known not to be part of the
    /// log of a later term that is open.
    ///
    /// A term is open only once a majority holds its start, so a record before its start that its
    /// primary sees is held by that majority too.
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

    /// The record was on a branch that was lost with its primary.
    fn on_lost_record(&mut self, cx: &mut Cx<'_>, id: &RequestId) {
        self.acknowledging.remove(id);
        if self.jobs.get(id).is_some_and(|job| job.keyed.is_some()) {
            self.resolve(cx, id);
            return;
        }
        let detail = "the primary was superseded before a majority held the write";
        self.refuse_unknown(cx, id, RefusalReason::AnswerLost, detail);
    }
}
