//! Runs scripts in which primaries, homes or links fail, and compares the homes' reactions with the
//! expected output.

mod support;

use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use goldenscript::{Command, Context, Runner};
use rstest::rstest;
use support::fake_server::Health;
use support::world::World;

/// The maximum simulated time that a script command waits.
const LIMIT: Duration = Duration::from_secs(10);

/// A script run against a simulated group.
struct Script {
    world: World,
}

/// The output of a script command.
type Output = Result<String, Box<dyn Error>>;

impl Script {
    /// Returns the timeline entries since the last call.
    fn notes(&mut self) -> String {
        std::mem::take(&mut self.world.notes)
    }

    /// Applies `f` to the home or server that the first argument names.
    fn node(&mut self, args: &[String], f: impl Fn(&mut World, usize)) -> Output {
        let index = match args[0].chars().next() {
            Some('h') => self.world.home_index(&args[0]),
            _ => self.world.server_index(&args[0]),
        };
        f(&mut self.world, index);
        Ok(String::new())
    }

    /// Writes through a home and reports whether the write was acknowledged within 20 ms.
    fn write(&mut self, home: &str) -> String {
        let home = self.world.home_index(home);
        let before = self.world.checker.acknowledged.len();
        let sent = self.world.write(home);
        self.world.run(Duration::from_millis(20));
        let done = self.world.checker.acknowledged.get(before);
        match done {
            Some(done) => format!("acknowledged {}\n", done.record),
            None if sent => "written, not acknowledged\n".to_owned(),
            None => "not written\n".to_owned(),
        }
    }

    /// Writes through a home until a write is acknowledged, and reports how long that took.
    fn recover(&mut self, home: &str) -> String {
        let start = self.world.now;
        let home = self.world.home_index(home);
        let before = self.world.checker.acknowledged.len();
        while self.world.now < start + LIMIT {
            self.world.write(home);
            self.world.run(Duration::from_millis(10));
            if self.world.checker.acknowledged.len() > before {
                let gap = (self.world.now - start).as_millis();
                return format!("{}gap {gap} ms\n", self.notes());
            }
        }
        format!("{}no write landed\n", self.notes())
    }

    /// Lists each server's log and each home's primary.
    fn state(&self) -> String {
        let mut text = String::new();
        for server in &self.world.servers {
            let leads = server.leads().map(|term| format!(" leads {}", term.0));
            let leads = leads.unwrap_or_default();
            let fenced = server.fenced.0;
            let _ = writeln!(
                text,
                "{} fenced {fenced} held {}{leads}",
                server.id,
                server.held()
            );
        }
        for (home, name) in self.world.homes.iter().zip(["ha", "hb", "hc"]) {
            let primary = home.group.primary();
            let primary =
                primary.map_or("none".to_owned(), |p| format!("{} {}", p.server, p.term.0));
            let _ = writeln!(text, "{name} primary {primary}");
        }
        text
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let mut arguments = command.consume_args();
        let mut args = Vec::new();
        while let Some(value) = arguments.next_pos() {
            args.push(value.to_owned());
        }
        match command.name.as_str() {
            "kill" => self.node(&args, |w, i| w.set_health(i, Health::Killed)),
            "freeze" => self.node(&args, |w, i| w.set_health(i, Health::Frozen)),
            "thaw" | "revive" => self.node(&args, |w, i| w.set_health(i, Health::Up)),
            "pause" => self.node(&args, |w, i| w.set_paused(i, true)),
            "resume" => self.node(&args, |w, i| w.set_paused(i, false)),
            "hold" => self.node(&args, |w, i| w.set_held(i, true)),
            "release" => self.node(&args, |w, i| w.set_held(i, false)),
            "restart" => self.node(&args, World::restart),
            "probe" => self.node(&args, World::probe),
            "leave" => self.node(&args, |w, i| w.leaving.push(w.servers[i].id.clone())),
            "cut" => {
                for other in &args[1..] {
                    self.world.cut(&args[0], other);
                }
                Ok(String::new())
            }
            "heal" => {
                self.world.cuts.clear();
                Ok(String::new())
            }
            "write" => Ok(self.write(&args[0])),
            "recover" => Ok(self.recover(&args[0])),
            "run" => {
                self.world.run(Duration::from_millis(args[0].parse()?));
                Ok(self.notes())
            }
            "until_fenced" => {
                let server = self.world.server_index(&args[0]);
                let term = args[1].parse()?;
                let fenced = |w: &World| w.servers[server].fenced.0 >= term;
                let came = self.world.run_until(LIMIT, fenced);
                Ok(format!("{}fenced {came}\n", self.notes()))
            }
            "state" => Ok(self.state()),
            name => Err(format!("unknown command `{name}`").into()),
        }
    }
}

#[rstest]
#[case("primary_killed")]
#[case("primary_isolated")]
#[case("primary_frozen")]
#[case("two_proposers")]
#[case("proposer_paused")]
#[case("same_fault_twice")]
#[case("zone_cut")]
#[case("replication_cut")]
#[case("hand_over")]
#[case("daemon_restarted")]
fn promotion_script(#[case] name: &str) -> std::io::Result<()> {
    let path = Path::new("tests/scripts/promotion").join(name);
    let world = World::new(7);
    goldenscript::run(&mut Script { world }, path)
}
