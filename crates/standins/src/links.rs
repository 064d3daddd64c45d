//! Stand-ins for the links between supervisors: a TCP relay for each ordered pair, which can be blocked.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use anyhow::Result;
use shalereel_rpc::{ConnId, Hub, Input};

use crate::plan::{Command, LinksPlan, Ready};
use crate::{read_plan, write_ready, CONNECTION_LIMITS};

/// Maximum number of supervisors whose links have distinct addresses.
const MAX_MEMBERS: u32 = 16;

/// Ordered pair of supervisors: source and destination.
type Pair = (u32, u32);

/// Relays of all pairs.
struct Links {
    hub: Hub<Pair, ()>,
    /// Address of each supervisor.
    member_addresses: BTreeMap<u32, SocketAddr>,
    /// The other end of each relayed connection, and the pair of its link. Both ends have an entry.
    peers: BTreeMap<ConnId, (ConnId, Pair)>,
    blocked: BTreeSet<Pair>,
}

/// Runs the role `links`.
pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(CONNECTION_LIMITS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (LinksPlan, _) = read_plan(&mut hub)?;
    let mut addresses = Vec::new();
    for from in 0..plan.members {
        for to in 0..plan.members {
            let listen_address = SocketAddr::from(([127, 0, 5, (from * MAX_MEMBERS + to + 1) as u8], 0));
            addresses.push(hub.listen_plain(listen_address, (from, to))?.1);
        }
    }
    write_ready(&Ready { addresses })?;
    let mut links =
        Links { hub, member_addresses: BTreeMap::new(), peers: BTreeMap::new(), blocked: BTreeSet::new() };
    let mut inputs = rest;
    loop {
        for input in inputs {
            match input {
                Input::Opened { conn, listener } => links.handle_open(conn, listener),
                Input::Bytes { conn, bytes } => {
                    if let Some(&(peer, _)) = links.peers.get(&conn) {
                        links.hub.write(peer, &bytes);
                    }
                }
                Input::Closed { conn, .. } => links.handle_close(conn),
                Input::Line(line) => links.handle_command(serde_json::from_str(&line)?),
                Input::EndOfLines | Input::Stop => return Ok(()),
                _ => {}
            }
        }
        inputs = links.hub.wait(None)?;
    }
}

impl Links {
    /// Connects a new connection to the supervisor that its link leads to.
    fn handle_open(&mut self, conn: ConnId, pair: Pair) {
        let address = self.member_addresses.get(&pair.1).copied();
        let Some(peer) = address.and_then(|address| self.hub.dial_plain(address).ok()) else {
            return self.hub.reset(conn);
        };
        self.peers.insert(conn, (peer, pair));
        self.peers.insert(peer, (conn, pair));
        let blocked = self.blocked.contains(&pair);
        self.hub.set_paused(conn, blocked);
        self.hub.set_paused(peer, blocked);
    }

    /// Resets the other end of a connection that has ended.
    fn handle_close(&mut self, conn: ConnId) {
        if let Some((peer, _)) = self.peers.remove(&conn) {
            self.peers.remove(&peer);
            self.hub.reset(peer);
        }
    }

    /// Carries out a command.
    fn handle_command(&mut self, command: Command) {
        match command {
            Command::SetMemberAddress { member, address } => {
                self.member_addresses.insert(member, address);
            }
            Command::BlockLinks { pairs } => {
                self.blocked = pairs.into_iter().collect();
                for (conn, (_, pair)) in &self.peers {
                    self.hub.set_paused(*conn, self.blocked.contains(pair));
                }
            }
            other => eprintln!("links do not support the command {other:?}"),
        }
    }
}
