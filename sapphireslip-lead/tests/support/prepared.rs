//! What the fake servers' connections hold under prepared names, and which shape each statement runs.

use std::collections::BTreeMap;

use sapphireslip_core::{ConnectionId, Text};
use sapphireslip_lead::{ServerRequest, Shape};

/// The prepared names of all connections, and the shapes that statements have run.
#[derive(Debug, Default)]
pub struct Prepared {
    /// The shapes of each connection, by the number in their names.
    names: BTreeMap<ConnectionId, BTreeMap<String, Shape>>,
    /// For each prepared statement that was sent, its identifier and the shape that it ran; none if its
    /// name was unknown on the connection.
    pub ran: Vec<(Text, Option<Shape>)>,
}

impl Prepared {
    /// Records a request that a server receives on a connection.
    pub fn note(&mut self, connection: ConnectionId, request: &ServerRequest) {
        let names = self.names.entry(connection).or_default();
        match request {
            ServerRequest::Reset => names.clear(),
            ServerRequest::Prepare { shape } => {
                names.insert(shape.number.to_string(), shape.shape.clone());
            }
            ServerRequest::Execute { id, number, .. } => {
                let shape = names.get(&number.to_string()).cloned();
                self.ran.push((Text::clone(id), shape));
            }
            _ => {}
        }
    }
}
