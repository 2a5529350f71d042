//! Checks that every message between daemons is the same after encoding and decoding, and that an
//! invalid field is reported by its path.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use prost::Message;
use rstest::rstest;
use sapphireslip_core::*;
use sapphireslip_wire::peer::envelope::Body;
use sapphireslip_wire::{EnvelopeBody, WireError, peer};

fn name<T: for<'a> TryFrom<&'a str, Error = NameError> + std::fmt::Debug>()
-> impl Strategy<Value = T> {
    "[a-z][a-z0-9]{0,8}"
        .prop_map(|text| T::try_from(&text).expect("the pattern matches only valid names"))
}

fn record() -> impl Strategy<Value = TermPosition> {
    (any::<u64>(), any::<u64>()).prop_map(|(term, position)| TermPosition {
        term: Term(term),
        position: Position(position),
    })
}

fn duration() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|micros| Duration::from_micros(micros.into()))
}

fn payload() -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..64).prop_map(Bytes::from)
}

fn request_id() -> impl Strategy<Value = RequestId> {
    (name(), any::<u64>(), any::<u64>()).prop_map(|(entry, incarnation, number)| RequestId {
        entry,
        incarnation: Incarnation(incarnation),
        number: RequestNumber(number),
    })
}

fn kind() -> impl Strategy<Value = StatementKind> {
    prop::sample::select(vec![
        StatementKind::Read,
        StatementKind::Write,
        StatementKind::Begin,
        StatementKind::BeginReadOnly,
        StatementKind::Commit,
        StatementKind::Rollback,
    ])
}

fn transaction() -> impl Strategy<Value = TransactionStatus> {
    prop::sample::select(vec![
        TransactionStatus::Idle,
        TransactionStatus::Open,
        TransactionStatus::Failed,
    ])
}

fn reason() -> impl Strategy<Value = RefusalReason> {
    prop::sample::select(vec![
        RefusalReason::UnknownDatabase,
        RefusalReason::BadCredentials,
        RefusalReason::QueueFull,
        RefusalReason::Deadline,
        RefusalReason::NoMajority,
        RefusalReason::NoPrimary,
        RefusalReason::NoFreshServer,
        RefusalReason::NoConnection,
        RefusalReason::NoHome,
        RefusalReason::Draining,
        RefusalReason::Quota,
        RefusalReason::KeyRefused,
        RefusalReason::LostBranch,
        RefusalReason::TransactionLost,
        RefusalReason::AnswerLost,
        RefusalReason::Unsupported,
    ])
}

fn refusal() -> impl Strategy<Value = Refusal> {
    let ran = prop::sample::select(vec![Certainty::NotRun, Certainty::Unknown]);
    (reason(), ran, prop::option::of(duration()), ".{0,20}").prop_map(
        |(reason, ran, retry_after, detail)| Refusal {
            reason,
            ran,
            retry_after,
            detail: detail.into(),
        },
    )
}

fn request() -> impl Strategy<Value = Request> {
    let freshness = prop::option::of(record()).prop_map(|record| match record {
        Some(record) => Freshness::AtLeast(record),
        None => Freshness::Probe,
    });
    let key = prop::option::of("[0-9]{1,9}\\.[a-z]{1,9}").prop_map(|key| {
        let key = key.as_deref().map(RequestKey::try_from);
        key.transpose()
            .expect("the pattern matches only valid keys")
    });
    let names = (request_id(), any::<u64>(), name(), name());
    let rest = (any::<bool>(), any::<bool>(), duration(), payload());
    (names, kind(), freshness, key, rest).prop_map(|(names, kind, freshness, key, rest)| Request {
        id: names.0,
        session: SessionId(names.1),
        service: names.2,
        database: names.3,
        kind,
        in_transaction: rest.0,
        freshness,
        key,
        resent: rest.1,
        time_left: rest.2,
        payload: rest.3,
    })
}

fn answer() -> impl Strategy<Value = Answer> {
    let outcome = prop::option::of(refusal()).prop_map(|refusal| match refusal {
        Some(refusal) => Outcome::Refused(refusal),
        None => Outcome::Done,
    });
    let end = (outcome, transaction(), prop::option::of(record()));
    let end = end.prop_map(|(outcome, transaction, seen)| AnswerEnd {
        outcome,
        transaction,
        seen,
    });
    (request_id(), any::<u32>(), payload(), prop::option::of(end)).prop_map(
        |(id, part, payload, end)| Answer {
            id,
            part,
            payload,
            end,
        },
    )
}

fn vm_record() -> impl Strategy<Value = VmRecord> {
    let state = prop::sample::select(vec![
        VmState::Alive,
        VmState::Suspect,
        VmState::Leaving,
        VmState::Dead,
    ]);
    (name(), name(), any::<SocketAddr>(), any::<u64>(), state).prop_map(
        |(vm, zone, address, incarnation, state)| VmRecord {
            vm,
            zone,
            address: without_flow(address),
            incarnation: Incarnation(incarnation),
            state,
        },
    )
}

/// Returns the address without flow label and scope, which the text form on the wire does not
/// carry.
fn without_flow(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port())
}

fn document() -> impl Strategy<Value = AcceptedDocument> {
    (name(), name(), any::<u64>(), any::<u64>(), ".{0,40}").prop_map(
        |(member, service, generation, change, text)| AcceptedDocument {
            member,
            service,
            generation: Generation(generation),
            change: ChangeCount(change),
            text: text.into(),
        },
    )
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let news = || prop::collection::vec(vm_record(), 0..4);
    let probe = || (any::<u64>(), news(), any::<u64>());
    let term = || (name(), any::<u64>());
    prop_oneof![
        request().prop_map(PeerMessage::Request),
        answer().prop_map(PeerMessage::Answer),
        request_id().prop_map(PeerMessage::Cancel),
        (any::<u64>(), any::<u64>()).prop_map(|(run, session)| PeerMessage::SessionClosed {
            incarnation: Incarnation(run),
            session: SessionId(session),
        }),
        probe().prop_map(|(number, news, changes)| PeerMessage::Probe {
            number: ProbeNumber(number),
            news,
            changes: ChangeCount(changes),
        }),
        probe().prop_map(|(number, news, changes)| PeerMessage::ProbeAck {
            number: ProbeNumber(number),
            news,
            changes: ChangeCount(changes),
        }),
        (any::<u64>(), name()).prop_map(|(number, vm)| PeerMessage::ProbeFor {
            number: ProbeNumber(number),
            vm,
        }),
        any::<u64>().prop_map(|number| PeerMessage::ProbeForAck {
            number: ProbeNumber(number),
        }),
        Just(PeerMessage::WantVms),
        prop::collection::vec(any::<std::net::IpAddr>(), 0..3)
            .prop_map(PeerMessage::LeavingServers),
        news().prop_map(PeerMessage::Vms),
        any::<u64>().prop_map(|since| PeerMessage::WantDocuments {
            since: ChangeCount(since),
        }),
        (
            prop::collection::vec(document(), 0..3),
            any::<u64>(),
            any::<u64>()
        )
            .prop_map(|(documents, since, changes)| {
                PeerMessage::Documents {
                    since: ChangeCount(since),
                    documents,
                    changes: ChangeCount(changes),
                }
            }),
        term().prop_map(|(database, term)| PeerMessage::ConfirmSuspicion {
            database,
            term: Term(term),
        }),
        (term(), any::<bool>()).prop_map(|((database, term), confirmed)| PeerMessage::Suspicion {
            database,
            term: Term(term),
            confirmed,
        }),
        term().prop_map(|(database, term)| PeerMessage::Promoted {
            database,
            term: Term(term),
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_message_survives_encoding(message in message()) {
        let envelope = peer::Envelope { time: 7, body: Some(message.clone().into()) };
        let bytes = Bytes::from(envelope.encode_to_vec());
        let decoded = peer::Envelope::decode(bytes).expect("the envelope decodes");
        prop_assert_eq!(decoded.time, 7);
        let body = EnvelopeBody::try_from(decoded).expect("the envelope is valid");
        prop_assert_eq!(body, EnvelopeBody::Message(message));
    }
}

/// Returns a valid request.
fn sample_request() -> peer::Request {
    peer::Request {
        id: Some(peer::RequestId {
            entry: "vm-1".to_owned(),
            incarnation: 1,
            number: 1,
        }),
        service: "shop".to_owned(),
        database: "stock".to_owned(),
        kind: peer::StatementKind::Read.into(),
        ..peer::Request::default()
    }
}

#[rstest]
#[case::id(peer::Request { id: None, ..sample_request() }, "request.id")]
#[case::service(peer::Request { service: String::new(), ..sample_request() }, "request.service")]
#[case::database(
    peer::Request { database: "A B".to_owned(), ..sample_request() },
    "request.database"
)]
#[case::kind(peer::Request { kind: 0, ..sample_request() }, "request.kind")]
#[case::unknown_kind(peer::Request { kind: 99, ..sample_request() }, "request.kind")]
#[case::key(peer::Request { key: Some("x".to_owned()), ..sample_request() }, "request.key")]
#[case::entry(
    peer::Request { id: Some(peer::RequestId::default()), ..sample_request() },
    "request.id.entry"
)]
fn invalid_field_is_reported_by_its_path(#[case] request: peer::Request, #[case] path: &str) {
    let err = EnvelopeBody::try_from(Body::Request(request)).expect_err("the request is invalid");
    assert!(
        err.to_string().starts_with(&format!("field `{path}`")),
        "{err}"
    );
}

#[test]
fn envelope_without_body_is_rejected() {
    let err =
        EnvelopeBody::try_from(peer::Envelope::default()).expect_err("the envelope is invalid");
    assert_eq!(err, WireError::Missing("body".to_owned()));
}

#[test]
fn hello_with_host_name_is_rejected() {
    let hello = peer::Hello {
        vm: "vm-1".to_owned(),
        zone: "a".to_owned(),
        incarnation: 1,
        address: "localhost:5000".to_owned(),
    };
    let err = EnvelopeBody::try_from(Body::Hello(hello)).expect_err("the address is invalid");
    let expected = WireError::Address("hello.address".to_owned(), "localhost:5000".to_owned());
    assert_eq!(err, expected);
    let text = "field `hello.address`: `localhost:5000` is not a valid IP address, with a port where \
                the field requires one";
    assert_eq!(err.to_string(), text);
}

/// The payload of a decoded request refers to the received buffer.
#[test]
fn payload_is_not_copied() {
    let request = peer::Request {
        payload: Bytes::from(vec![9; 4096]),
        ..sample_request()
    };
    let envelope = peer::Envelope {
        time: 0,
        body: Some(Body::Request(request)),
    };
    let buf = Bytes::from(envelope.encode_to_vec());
    let range = buf.as_ptr_range();
    let decoded = peer::Envelope::decode(buf.clone()).expect("the envelope decodes");
    let body = EnvelopeBody::try_from(decoded).expect("the envelope is valid");
    let EnvelopeBody::Message(PeerMessage::Request(request)) = body else {
        panic!("the body is not a request");
    };
    assert!(range.contains(&request.payload.as_ptr()));
}
