//! Starts a group of backend servers on loopback ports and prints their addresses.
//!
//! Usage: `cargo run --example backend_group -- 15432 15433 15434`. A server without a port on the
//! command line listens on a free one.

use std::net::SocketAddr;

use standins::{BackendGroup, BackendGroupSettings};

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let ports = std::env::args().skip(1);
    let addresses = ports
        .map(|port| Ok(SocketAddr::from(([127, 0, 0, 1], port.parse()?))))
        .collect::<Result<_, std::num::ParseIntError>>()?;
    let settings = BackendGroupSettings {
        addresses,
        ..Default::default()
    };
    let group = BackendGroup::start(settings).await?;
    for (server, address) in group.addresses().into_iter().enumerate() {
        println!("{} {address}", group.id(server));
    }
    std::future::pending::<()>().await;
    Ok(())
}
