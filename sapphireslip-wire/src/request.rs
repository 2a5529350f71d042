//! Conversions of requests and answers between an entry daemon and a home.

use std::time::Duration;

use sapphireslip_core as core;
use sapphireslip_core::{
    Freshness, Incarnation, Outcome, Position, RequestKey, RequestNumber, SessionId, Term,
};

use crate::field::{enumeration, micros, name, required};
use crate::{WireError, peer};

impl From<core::RequestId> for peer::RequestId {
    fn from(id: core::RequestId) -> Self {
        Self {
            entry: id.entry.as_str().to_owned(),
            incarnation: id.incarnation.0,
            number: id.number.0,
        }
    }
}

impl TryFrom<peer::RequestId> for core::RequestId {
    type Error = WireError;

    fn try_from(id: peer::RequestId) -> Result<Self, WireError> {
        Ok(Self {
            entry: name("entry", &id.entry)?,
            incarnation: Incarnation(id.incarnation),
            number: RequestNumber(id.number),
        })
    }
}

impl From<core::TermPosition> for peer::TermPosition {
    fn from(position: core::TermPosition) -> Self {
        Self {
            term: position.term.0,
            position: position.position.0,
        }
    }
}

impl From<peer::TermPosition> for core::TermPosition {
    fn from(position: peer::TermPosition) -> Self {
        Self {
            term: Term(position.term),
            position: Position(position.position),
        }
    }
}

impl From<core::Request> for peer::Request {
    fn from(request: core::Request) -> Self {
        let at_least = match request.freshness {
            Freshness::AtLeast(position) => Some(position.into()),
            Freshness::Probe => None,
        };
        Self {
            id: Some(request.id.into()),
            session: request.session.0,
            service: request.service.as_str().to_owned(),
            database: request.database.as_str().to_owned(),
            kind: peer::StatementKind::from(request.kind).into(),
            in_transaction: request.in_transaction,
            at_least,
            key: request.key.map(|key| key.as_str().to_owned()),
            resent: request.resent,
            time_left_micros: micros(request.time_left),
            payload: request.payload,
        }
    }
}

impl TryFrom<peer::Request> for core::Request {
    type Error = WireError;

    fn try_from(request: peer::Request) -> Result<Self, WireError> {
        let freshness = match request.at_least {
            Some(position) => Freshness::AtLeast(position.into()),
            None => Freshness::Probe,
        };
        let key = request.key.as_deref().map(RequestKey::try_from);
        Ok(Self {
            id: required("id", request.id)?,
            session: SessionId(request.session),
            service: name("service", &request.service)?,
            database: name("database", &request.database)?,
            kind: enumeration::<peer::StatementKind, _>("kind", request.kind)?,
            in_transaction: request.in_transaction,
            freshness,
            key: key
                .transpose()
                .map_err(|err| WireError::Key("key".to_owned(), err))?,
            resent: request.resent,
            time_left: Duration::from_micros(request.time_left_micros),
            payload: request.payload,
        })
    }
}

impl From<core::Answer> for peer::Answer {
    fn from(answer: core::Answer) -> Self {
        Self {
            id: Some(answer.id.into()),
            part: answer.part,
            payload: answer.payload,
            end: answer.end.map(Into::into),
        }
    }
}

impl TryFrom<peer::Answer> for core::Answer {
    type Error = WireError;

    fn try_from(answer: peer::Answer) -> Result<Self, WireError> {
        let end = answer.end.map(core::AnswerEnd::try_from).transpose();
        Ok(Self {
            id: required("id", answer.id)?,
            part: answer.part,
            payload: answer.payload,
            end: end.map_err(|err| err.within("end"))?,
        })
    }
}

impl From<core::AnswerEnd> for peer::AnswerEnd {
    fn from(end: core::AnswerEnd) -> Self {
        let refusal = match end.outcome {
            Outcome::Done => None,
            Outcome::Refused(refusal) => Some(refusal.into()),
        };
        Self {
            refusal,
            transaction: peer::TransactionStatus::from(end.transaction).into(),
            seen: end.seen.map(Into::into),
        }
    }
}

impl TryFrom<peer::AnswerEnd> for core::AnswerEnd {
    type Error = WireError;

    fn try_from(end: peer::AnswerEnd) -> Result<Self, WireError> {
        let outcome = match end.refusal {
            None => Outcome::Done,
            refusal @ Some(_) => Outcome::Refused(required("refusal", refusal)?),
        };
        Ok(Self {
            outcome,
            transaction: enumeration::<peer::TransactionStatus, _>("transaction", end.transaction)?,
            seen: end.seen.map(Into::into),
        })
    }
}

impl From<core::Refusal> for peer::Refusal {
    fn from(refusal: core::Refusal) -> Self {
        Self {
            reason: peer::RefusalReason::from(refusal.reason).into(),
            ran: peer::Certainty::from(refusal.ran).into(),
            retry_after_micros: refusal.retry_after.map(micros),
            detail: refusal.detail.as_ref().to_owned(),
        }
    }
}

impl TryFrom<peer::Refusal> for core::Refusal {
    type Error = WireError;

    fn try_from(refusal: peer::Refusal) -> Result<Self, WireError> {
        Ok(Self {
            reason: enumeration::<peer::RefusalReason, _>("reason", refusal.reason)?,
            ran: enumeration::<peer::Certainty, _>("ran", refusal.ran)?,
            retry_after: refusal.retry_after_micros.map(Duration::from_micros),
            detail: refusal.detail.into(),
        })
    }
}
