//! Runs the platform stand-in: `platform [LISTEN [VM/ZONE/ADDRESS]...]`.
//!
//! Prints the address that it listens on as a single line and runs until the process is killed.

use std::error::Error;

use sapphireslip_wire::platform::{Vm, VmState};
use standins::{Platform, PlatformSettings};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let mut settings = PlatformSettings::default();
    if let Some(listen) = args.next() {
        settings.listen = listen.parse()?;
    }
    let platform = Platform::start(settings).await?;
    for arg in args {
        platform.set_vm(parse_vm(&arg)?);
    }
    println!("{}", platform.address());
    std::future::pending::<()>().await;
    Ok(())
}

/// Parses `VM/ZONE/ADDRESS` as a live VM.
fn parse_vm(arg: &str) -> Result<Vm, Box<dyn Error>> {
    let mut parts = arg.splitn(3, '/').map(ToOwned::to_owned);
    let mut part = || parts.next().ok_or("expected `VM/ZONE/ADDRESS`");
    Ok(Vm {
        vm: part()?,
        zone: part()?,
        address: part()?,
        incarnation: 0,
        state: VmState::Live.into(),
    })
}
