//! Runs the reducer of one daemon for a simulated time and measures its cost.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::time::Duration;

use prost::Message;
use sapphireslip_core::{
    AcceptedDocument, BackendEffect, BackendEvent, ChangeCount, ClientEvent, DatabaseName, Effect,
    Event, Incarnation, Instant, Now, PeerMessage, PlatformEffect, PlatformEvent, Position,
    ProbeNumber, ServerRole, ServerStatus, SessionId, State, Term, TermPosition, TransactionStatus,
    UserName, VmRecord, VmState, WorkEnd, reduce,
};
use sapphireslip_wire::peer::Envelope;
use serde::Serialize;

use crate::heap;
use crate::size::{Size, USER, document};

/// The simulated time that runs before the measurement, both before and after sessions are opened.
const WARM_UP: Duration = Duration::from_secs(5);

/// The simulated time over which traffic and processor time are measured.
const MEASURED_TIME: Duration = Duration::from_secs(60);

/// The simulated time after which every answer arrives.
const ANSWER_DELAY: Duration = Duration::from_millis(1);

/// The number of changes, or of last opened sessions, over which times are averaged.
const MEASURED_CHANGES: u32 = 20;

/// The number of bytes that HTTP/2 and gRPC put before each message.
const FRAME_BYTES: usize = 14;

/// A rate of messages.
#[derive(Debug, Default, Serialize)]
pub struct Traffic {
    /// Messages per second.
    pub messages: f64,
    /// Bytes per second, with the framing of HTTP/2 and gRPC but without TCP and IP headers.
    pub bytes: f64,
}

/// The cost that was measured at one size.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The size at which the cost was measured.
    #[serde(flatten)]
    size: Size,
    /// The processor time of the reducer, in percent of one core.
    pub processor_percent: f64,
    /// Messages sent to peers.
    pub sent: Traffic,
    /// Messages received from peers.
    pub received: Traffic,
    /// Calls to backend servers about their group, per second.
    pub group_calls: f64,
    /// Reads from the platform, per second.
    pub platform_reads: f64,
    /// The size in bytes of a message with the records of all VMs.
    pub vm_list_bytes: usize,
    /// The memory that the daemon's state takes, in bytes.
    pub state_bytes: f64,
    /// The mean time in the reducer for one changed document, in microseconds.
    pub document_change_us: f64,
    /// The bytes sent to peers for one changed document, without those that are sent anyway.
    pub document_change_bytes: f64,
    /// The mean time in the reducer for one VM that joins or leaves, in microseconds.
    pub membership_change_us: f64,
    /// The mean time in the reducer to open one more session, in microseconds.
    pub session_open_us: f64,
}

/// The raw counts since they were last reset.
#[derive(Debug, Default)]
struct Counts {
    /// The real time spent in the reducer.
    reducer_time: Duration,
    /// The messages sent to peers, and their bytes.
    sent: [usize; 2],
    /// The messages received from peers, and their bytes.
    received: [usize; 2],
    /// The calls to backend servers about their group.
    group_calls: usize,
    /// The reads from the platform.
    platform_reads: usize,
}

/// The measured daemon, with the simulated time and the events to come.
struct Meter {
    /// The state of the measured daemon.
    state: State,
    /// The VMs of the fleet, the measured daemon's among them.
    vms: Vec<VmRecord>,
    /// The documents that the platform has accepted, at their newest version.
    documents: Vec<AcceptedDocument>,
    /// The simulated time since the start.
    now: Duration,
    /// The simulated times at which the daemon asked to be woken.
    wakes: BTreeSet<Duration>,
    /// The events to come, by the simulated time at which they are due and by their number.
    queue: BTreeMap<(Duration, u64), Event>,
    /// The number of events queued so far, which keeps those due at one time in order.
    events_queued: u64,
    /// The counts of the running measurement.
    counts: Counts,
}

/// Measures the cost at one size.
///
/// # Errors
///
/// The size can't be built, a session was refused or a changed document did not come into force.
pub fn measure(size: Size) -> Result<Report, Box<dyn Error>> {
    let vms = size.vms()?;
    let local = size.local(&vms)?;
    let documents = size.accepted_documents(&local, &vms)?;
    let state = State::new(local, vms.clone(), 1);
    let mut meter = Meter {
        state,
        vms,
        documents,
        now: Duration::ZERO,
        wakes: BTreeSet::from([Duration::ZERO]),
        queue: BTreeMap::new(),
        events_queued: 0,
        counts: Counts::default(),
    };
    let vm_list_bytes = encoded_len(&PeerMessage::Vms(meter.vms.clone()));
    let documents = meter.documents.clone();
    meter.feed_event(Event::Platform(PlatformEvent::Documents(Some(documents))));
    meter.run_for(WARM_UP);
    let opening = meter.open_sessions(size.sessions)?;
    meter.run_for(WARM_UP);
    meter.counts = Counts::default();
    meter.run_for(MEASURED_TIME);
    let counts = std::mem::take(&mut meter.counts);
    let document_change = meter.change_documents(size.relay)?;
    let change_sent = std::mem::take(&mut meter.counts).sent;
    let membership_change = meter.change_vms();
    let state_bytes = meter.into_state_bytes();
    let per_second = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / 60.0;
    let traffic = |[messages, bytes]: [usize; 2]| Traffic {
        messages: per_second(messages),
        bytes: per_second(bytes),
    };
    Ok(Report {
        size,
        processor_percent: counts.reducer_time.as_secs_f64() / MEASURED_TIME.as_secs_f64() * 100.0,
        sent: traffic(counts.sent),
        received: traffic(counts.received),
        group_calls: per_second(counts.group_calls),
        platform_reads: per_second(counts.platform_reads),
        vm_list_bytes,
        state_bytes: per_second(state_bytes) * 60.0,
        document_change_bytes: traffic(change_sent).bytes * 60.0 / f64::from(MEASURED_CHANGES)
            - traffic(counts.sent).bytes,
        document_change_us: document_change.as_secs_f64() * 1e6,
        membership_change_us: membership_change.as_secs_f64() * 1e6,
        session_open_us: opening.as_secs_f64() * 1e6,
    })
}

impl Meter {
    /// Advances the simulated time, and passes the reducer all events and wakes that are due, among
    /// them the probes of peers.
    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        let seconds = u32::try_from(time.as_secs()).unwrap_or(u32::MAX);
        for second in 0..seconds {
            self.queue_peer_probes(second);
        }
        loop {
            let event = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wake = self.wakes.first().copied();
            let Some(next) = [event, wake]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(next);
            if wake == Some(next) {
                self.wakes.pop_first();
                self.feed_event(Event::Tick);
            } else if let Some((_, event)) = self.queue.pop_first() {
                self.feed_event(event);
            }
        }
        self.now = end;
    }

    /// Queues the probes that arrive in one second: a daemon is probed about once a second from its
    /// own zone and every two seconds from other zones.
    fn queue_peer_probes(&mut self, second: u32) {
        let number = ProbeNumber(u64::from(second) + 1_000_000);
        let at = self.now + Duration::from_secs(u64::from(second));
        let probes_other_zone = second.is_multiple_of(2);
        let local = self.state.local.clone();
        let start = second as usize * 31;
        let pick = |near: bool| {
            let vms = self.vms.iter().filter(|vm| (vm.zone == local.zone) == near);
            let others: Vec<_> = vms.filter(|vm| vm.vm != local.vm).collect();
            (!others.is_empty()).then(|| others[start % others.len()].clone())
        };
        let far = pick(false).filter(|_| probes_other_zone);
        for from in [pick(true), far].into_iter().flatten() {
            let message = PeerMessage::Probe {
                number,
                news: vec![from.clone()],
                changes: self.changes(),
            };
            self.queue_event(
                at,
                Event::Peer {
                    from: from.vm,
                    message,
                },
            );
        }
    }

    /// Returns the platform's count of accepted changes.
    fn changes(&self) -> ChangeCount {
        let changes = self.documents.iter().map(|document| document.change);
        changes.max().unwrap_or_default()
    }

    /// Queues an event that is due at the simulated time `at`.
    fn queue_event(&mut self, at: Duration, event: Event) {
        self.events_queued += 1;
        self.queue.insert((at, self.events_queued), event);
    }

    /// Passes an event to the reducer, carries out the effects, and returns the time in the
    /// reducer.
    fn feed_event(&mut self, event: Event) -> Duration {
        if let Event::Peer { message, .. } = &event {
            count_message(&mut self.counts.received, message);
        }
        let now = Now {
            instant: Instant {
                since_start: self.now,
            },
            unix: self.now,
        };
        let start = std::time::Instant::now();
        let effects = reduce(&mut self.state, now, event);
        let reducer_time = start.elapsed();
        self.counts.reducer_time += reducer_time;
        for effect in effects {
            self.carry_out_effect(effect);
        }
        reducer_time
    }

    /// Counts an effect and queues the answer to it, if it gets one.
    fn carry_out_effect(&mut self, effect: Effect) {
        let at = self.now + ANSWER_DELAY;
        match effect {
            Effect::WakeAt(wake) => {
                self.wakes.insert(wake.since_start.max(self.now));
            }
            Effect::Send { to, message, .. } => {
                count_message(&mut self.counts.sent, &message);
                if let PeerMessage::Probe { number, .. } = message {
                    let news = self.vms.iter().filter(|vm| vm.vm == to).cloned().collect();
                    let changes = self.changes();
                    let message = PeerMessage::ProbeAck {
                        number,
                        news,
                        changes,
                    };
                    self.queue_event(at, Event::Peer { from: to, message });
                }
            }
            Effect::Backend(effect) => self.answer_backend(at, effect),
            Effect::Platform(effect) => {
                self.counts.platform_reads += 1;
                let event = match effect {
                    PlatformEffect::ReadChanges => PlatformEvent::Changes(Some(self.changes())),
                    PlatformEffect::ReadVms => PlatformEvent::Vms(Some(self.vms.clone())),
                    PlatformEffect::ReadDocuments { since } => {
                        let newer = self.documents.iter().filter(|d| d.change > since);
                        PlatformEvent::Documents(Some(newer.cloned().collect()))
                    }
                };
                self.queue_event(at, Event::Platform(event));
            }
            _ => {}
        }
    }

    /// Queues the successful answer to an effect on a backend server.
    fn answer_backend(&mut self, at: Duration, effect: BackendEffect) {
        let event = match effect {
            BackendEffect::Connect { connection, .. } => BackendEvent::Connected { connection },
            BackendEffect::Send {
                connection, work, ..
            } => BackendEvent::Answered {
                connection,
                work,
                payload: bytes::Bytes::new(),
                end: Some(WorkEnd {
                    transaction: TransactionStatus::Idle,
                    committed: None,
                    sqlstate: None,
                    value: None,
                }),
            },
            BackendEffect::Close { .. } => return,
            BackendEffect::Group { call, server, .. } => {
                self.counts.group_calls += 1;
                let is_primary = server.id.as_str().ends_with("-0");
                BackendEvent::GroupReply {
                    server: server.id,
                    call,
                    result: Ok(status(is_primary)),
                }
            }
        };
        self.queue_event(at, Event::Backend(event));
    }

    /// Opens sessions, spread over the databases, and returns the mean time in the reducer for each
    /// of the last [`MEASURED_CHANGES`].
    fn open_sessions(&mut self, count: usize) -> Result<Duration, Box<dyn Error>> {
        let mut last = Duration::ZERO;
        for number in 0..count {
            let session = SessionId(number as u64 + 1);
            let of = &self.documents[number % self.documents.len()];
            let database = of.service.as_str().replace("service", "database");
            let mut reducer_time = self.feed_event(Event::Client(ClientEvent::Connecting {
                session,
                user: USER.into(),
                database: database.as_str().into(),
            }));
            reducer_time += self.feed_event(Event::Client(ClientEvent::Opened {
                session,
                user: UserName::try_from(USER)?,
                database: DatabaseName::try_from(database.as_str())?,
                token: Some(term_position(10)),
            }));
            if number + (MEASURED_CHANGES as usize) >= count {
                last += reducer_time;
            }
        }
        if self.state.entry.sessions() != count {
            return Err("not all sessions were accepted".into());
        }
        Ok(last / MEASURED_CHANGES)
    }

    /// Changes one document each second, and returns the mean time in the reducer for a change that
    /// a relay pushes. A relay of the zone reads the changes from the platform instead; the
    /// returned time is then 0.
    fn change_documents(&mut self, is_relay: bool) -> Result<Duration, Box<dyn Error>> {
        let mut reducer_time = Duration::ZERO;
        let from = self.vms[self.vms.len() - 1].vm.clone();
        for number in 0..MEASURED_CHANGES {
            let since = self.changes();
            let index = number as usize % self.documents.len();
            let service = self.documents[index].service.as_str();
            let service = service.trim_start_matches("service-").parse()?;
            let generation = self.documents[index].generation.0 + 1;
            let changed = document(service, generation, since.0 + 1)?;
            self.documents[index] = changed.clone();
            if is_relay {
                self.run_for(Duration::from_secs(1));
                continue;
            }
            let message = PeerMessage::Documents {
                since,
                documents: vec![changed],
                changes: self.changes(),
            };
            reducer_time += self.feed_event(Event::Peer {
                from: from.clone(),
                message,
            });
            self.run_for(Duration::from_secs(1));
        }
        if self.state.configuration.changes() != self.changes() {
            return Err("a changed document did not come into force".into());
        }
        Ok(reducer_time / MEASURED_CHANGES)
    }

    /// Lets a VM of the fleet leave and come back alternately, and returns the mean time in the
    /// reducer for each change.
    fn change_vms(&mut self) -> Duration {
        let mut reducer_time = Duration::ZERO;
        let Some(index) = self.vms.iter().rposition(|vm| vm.vm != self.state.local.vm) else {
            return reducer_time;
        };
        for number in 0..MEASURED_CHANGES {
            let vm = &mut self.vms[index];
            vm.incarnation = Incarnation(vm.incarnation.0 + 1);
            vm.state = if number % 2 == 0 {
                VmState::Leaving
            } else {
                VmState::Alive
            };
            let message = PeerMessage::Vms(vec![vm.clone()]);
            let from = vm.vm.clone();
            reducer_time += self.feed_event(Event::Peer { from, message });
            self.run_for(Duration::from_secs(1));
        }
        reducer_time / MEASURED_CHANGES
    }
}

impl Meter {
    /// Drops the state and returns how many bytes it held. The documents' texts, which the state
    /// shares with this meter, are added.
    fn into_state_bytes(self) -> usize {
        let texts = self.documents.iter().map(|document| document.text.len());
        let before = heap::bytes_in_use();
        drop(self.state);
        before - heap::bytes_in_use() + texts.sum::<usize>()
    }
}

/// Adds a message to a count of messages and bytes.
fn count_message([messages, bytes]: &mut [usize; 2], message: &PeerMessage) {
    *messages += 1;
    *bytes += encoded_len(message);
}

/// Returns the size in bytes of a message on the wire, with its framing.
fn encoded_len(message: &PeerMessage) -> usize {
    let envelope = Envelope {
        time: u64::MAX / 2,
        body: Some(message.clone().into()),
    };
    envelope.encoded_len() + FRAME_BYTES
}

/// Returns the record at a position of the only term that occurs here.
const fn term_position(position: u64) -> TermPosition {
    TermPosition {
        term: Term(1),
        position: Position(position),
    }
}

/// Returns the status of a backend server that is up to date.
fn status(is_primary: bool) -> ServerStatus {
    ServerStatus {
        role: if is_primary {
            ServerRole::Primary
        } else {
            ServerRole::Replica
        },
        fenced: Term(1),
        held: term_position(10),
        applied: Position(10),
        term_starts: vec![term_position(1)],
    }
}
