//! Answers to daemons of which no address is known, which count as lost.

mod home_fake;

use std::time::Duration;

use home_fake::{Fake, SERVERS, record};
use sapphireslip_core::*;

/// Returns the number of effects of the tick in which reads of these entry daemons are refused, all
/// in one event, because no server has the record that they must see.
fn effects_of_refusals(entries: &[&str]) -> usize {
    let mut fake = Fake::new();
    fake.silent = SERVERS.to_vec();
    for entry in entries {
        let mut request = fake.request(StatementKind::Read);
        request.freshness = Freshness::AtLeast(record(1, 11));
        request.id.entry = VmId::try_from(*entry).unwrap();
        request.time_left = Duration::from_millis(40);
        fake.submit(request);
    }
    let queued = |fake: &Fake| fake.state.homes.homes().map(Home::queued).sum::<usize>();
    loop {
        assert_eq!(queued(&fake), entries.len(), "refused in several events");
        fake.now += Duration::from_millis(1);
        let now = Now {
            instant: Instant {
                since_start: fake.now,
            },
            unix: Duration::from_secs(1_000_000),
        };
        let effects = reduce(&mut fake.state, now, Event::Tick);
        if queued(&fake) == 0 {
            return effects.len();
        }
    }
}

/// The loss of a daemon is looked up in all sessions and homes. Answers to two such daemons in turn
/// must not cause that once for each answer.
#[test]
fn lost_daemon_counts_once_among_others() {
    let in_turn = effects_of_refusals(&["vm-x", "vm-y", "vm-x", "vm-y"]);
    let in_order = effects_of_refusals(&["vm-x", "vm-x", "vm-y", "vm-y"]);
    assert_eq!(in_turn, in_order);
}
