//! Conversion of the envelopes on a stream between daemons: a greeting, messages and a farewell.

use sapphireslip_core::{
    ChangeCount, Incarnation, Local, PeerMessage, ProbeNumber, SessionId, Term,
};

use crate::WireError;
use crate::field::{ip, list, name};
use crate::peer::{self, envelope::Body};

/// The body of an envelope after validation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EnvelopeBody {
    /// The greeting that opens a stream and identifies the sender.
    Hello(Local),
    /// A message between daemons.
    Message(PeerMessage),
    /// The last envelope on a stream that the daemon which opened it no longer uses.
    Farewell,
}

impl From<PeerMessage> for Body {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Request(request) => Self::Request(request.into()),
            PeerMessage::Answer(answer) => Self::Answer(answer.into()),
            PeerMessage::Cancel(id) => Self::Cancel(id.into()),
            PeerMessage::SessionClosed {
                incarnation,
                session,
            } => Self::SessionClosed(peer::SessionClosed {
                incarnation: incarnation.0,
                session: session.0,
            }),
            PeerMessage::Probe {
                number,
                news,
                changes,
            } => Self::Probe(probe(number, news, changes)),
            PeerMessage::ProbeAck {
                number,
                news,
                changes,
            } => Self::ProbeAck(probe(number, news, changes)),
            PeerMessage::ProbeFor { number, vm } => Self::ProbeFor(peer::ProbeFor {
                number: number.0,
                vm: vm.as_str().to_owned(),
            }),
            PeerMessage::ProbeForAck { number } => {
                Self::ProbeForAck(peer::ProbeForAck { number: number.0 })
            }
            PeerMessage::WantVms => Self::WantVms(peer::WantVms {}),
            PeerMessage::Vms(vms) => Self::Vms(peer::VmList {
                vms: vms.into_iter().map(Into::into).collect(),
            }),
            PeerMessage::WantDocuments { since } => {
                Self::WantDocuments(peer::WantDocuments { since: since.0 })
            }
            PeerMessage::Documents {
                since,
                documents,
                changes,
            } => Self::Documents(peer::DocumentList {
                documents: documents.into_iter().map(Into::into).collect(),
                changes: changes.0,
                since: since.0,
            }),
            PeerMessage::ConfirmSuspicion { database, term } => {
                Self::ConfirmSuspicion(suspected_term(&database, term))
            }
            PeerMessage::Suspicion {
                database,
                term,
                confirmed,
            } => Self::Suspicion(peer::Suspicion {
                database: database.as_str().to_owned(),
                term: term.0,
                confirmed,
            }),
            PeerMessage::Promoted { database, term } => {
                Self::Promoted(suspected_term(&database, term))
            }
            PeerMessage::LeavingServers(servers) => Self::LeavingServers(peer::LeavingServers {
                addresses: servers.iter().map(ToString::to_string).collect(),
            }),
        }
    }
}

fn probe(
    number: ProbeNumber,
    news: Vec<sapphireslip_core::VmRecord>,
    changes: ChangeCount,
) -> peer::Probe {
    peer::Probe {
        number: number.0,
        news: news.into_iter().map(Into::into).collect(),
        changes: changes.0,
    }
}

fn suspected_term(database: &sapphireslip_core::DatabaseName, term: Term) -> peer::SuspectedTerm {
    peer::SuspectedTerm {
        database: database.as_str().to_owned(),
        term: term.0,
    }
}

impl TryFrom<Body> for EnvelopeBody {
    type Error = WireError;

    fn try_from(body: Body) -> Result<Self, WireError> {
        let message = match body {
            Body::Hello(hello) => return decode_hello(hello),
            Body::Farewell(peer::Farewell {}) => return Ok(Self::Farewell),
            Body::Request(request) => {
                PeerMessage::Request(request.try_into().map_err(within("request"))?)
            }
            Body::Answer(answer) => {
                PeerMessage::Answer(answer.try_into().map_err(within("answer"))?)
            }
            Body::Cancel(id) => PeerMessage::Cancel(id.try_into().map_err(within("cancel"))?),
            Body::SessionClosed(closed) => PeerMessage::SessionClosed {
                incarnation: Incarnation(closed.incarnation),
                session: SessionId(closed.session),
            },
            Body::Probe(probe) => PeerMessage::Probe {
                number: ProbeNumber(probe.number),
                news: list("probe.news", probe.news)?,
                changes: ChangeCount(probe.changes),
            },
            Body::ProbeAck(probe) => PeerMessage::ProbeAck {
                number: ProbeNumber(probe.number),
                news: list("probe_ack.news", probe.news)?,
                changes: ChangeCount(probe.changes),
            },
            Body::ProbeFor(probe) => PeerMessage::ProbeFor {
                number: ProbeNumber(probe.number),
                vm: name("probe_for.vm", &probe.vm)?,
            },
            Body::ProbeForAck(ack) => PeerMessage::ProbeForAck {
                number: ProbeNumber(ack.number),
            },
            Body::WantVms(peer::WantVms {}) => PeerMessage::WantVms,
            Body::Vms(vms) => PeerMessage::Vms(list("vms.vms", vms.vms)?),
            Body::WantDocuments(want) => PeerMessage::WantDocuments {
                since: ChangeCount(want.since),
            },
            Body::Documents(documents) => PeerMessage::Documents {
                documents: list("documents.documents", documents.documents)?,
                changes: ChangeCount(documents.changes),
                since: ChangeCount(documents.since),
            },
            Body::ConfirmSuspicion(suspected_term) => PeerMessage::ConfirmSuspicion {
                database: name("confirm_suspicion.database", &suspected_term.database)?,
                term: Term(suspected_term.term),
            },
            Body::Suspicion(suspicion) => PeerMessage::Suspicion {
                database: name("suspicion.database", &suspicion.database)?,
                term: Term(suspicion.term),
                confirmed: suspicion.confirmed,
            },
            Body::Promoted(suspected_term) => PeerMessage::Promoted {
                database: name("promoted.database", &suspected_term.database)?,
                term: Term(suspected_term.term),
            },
            Body::LeavingServers(leaving) => {
                let leaving = leaving.addresses.iter();
                let leaving = leaving.map(|text| ip("leaving_servers.addresses", text));
                PeerMessage::LeavingServers(leaving.collect::<Result<_, _>>()?)
            }
        };
        Ok(Self::Message(message))
    }
}

fn decode_hello(hello: peer::Hello) -> Result<EnvelopeBody, WireError> {
    let local = Local::try_from(hello).map_err(within("hello"))?;
    Ok(EnvelopeBody::Hello(local))
}

/// Returns a function that extends the path of an error by `field`.
fn within(field: &'static str) -> impl Fn(WireError) -> WireError {
    move |err| err.within(field)
}

impl From<EnvelopeBody> for Body {
    fn from(body: EnvelopeBody) -> Self {
        match body {
            EnvelopeBody::Hello(local) => Self::Hello(local.into()),
            EnvelopeBody::Message(message) => message.into(),
            EnvelopeBody::Farewell => Self::Farewell(peer::Farewell {}),
        }
    }
}

impl TryFrom<peer::Envelope> for EnvelopeBody {
    type Error = WireError;

    fn try_from(envelope: peer::Envelope) -> Result<Self, WireError> {
        let body = envelope
            .body
            .ok_or_else(|| WireError::Missing("body".to_owned()))?;
        Self::try_from(body)
    }
}
