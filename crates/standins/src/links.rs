//! Links between supervisors: each ordered pair speaks through a door of its own, which can be shut.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use anyhow::Result;
use shalereel_rpc::{ConnId, Hub, Input};

use crate::plan::{Command, LinksPlan, Ready};
use crate::{read_plan, say_ready, BOUNDS};

/// From whom, to whom.
type Pair = (u32, u32);

struct Links {
    hub: Hub<Pair, ()>,
    targets: BTreeMap<u32, SocketAddr>,
    /// Both ends of each connection that passes through.
    ends: BTreeMap<ConnId, (ConnId, Pair)>,
    cut: BTreeSet<Pair>,
}

pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(BOUNDS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (LinksPlan, _) = read_plan(&mut hub)?;
    let mut addresses = Vec::new();
    for from in 0..plan.members {
        for to in 0..plan.members {
            let door = SocketAddr::from(([127, 0, 5, (from * 16 + to + 1) as u8], 0));
            addresses.push(hub.listen_plain(door, (from, to))?.1);
        }
    }
    say_ready(&Ready { addresses })?;
    let mut links = Links { hub, targets: BTreeMap::new(), ends: BTreeMap::new(), cut: BTreeSet::new() };
    let mut inputs = rest;
    loop {
        for input in inputs {
            match input {
                Input::Opened { conn, listener: at } => links.opened(conn, at),
                Input::Bytes { conn, bytes } => {
                    if let Some(&(other, _)) = links.ends.get(&conn) {
                        links.hub.write(other, &bytes);
                    }
                }
                Input::Closed { conn, .. } => links.over(conn),
                Input::Line(line) => links.command(serde_json::from_str(&line)?),
                Input::EndOfLines | Input::Stop => return Ok(()),
                _ => {}
            }
        }
        inputs = links.hub.wait(None)?;
    }
}

impl Links {
    fn opened(&mut self, conn: ConnId, pair: Pair) {
        let target = self.targets.get(&pair.1).copied();
        let Some(other) = target.and_then(|target| self.hub.dial_plain(target).ok()) else {
            return self.hub.reset(conn);
        };
        self.ends.insert(conn, (other, pair));
        self.ends.insert(other, (conn, pair));
        let shut = self.cut.contains(&pair);
        self.hub.set_paused(conn, shut);
        self.hub.set_paused(other, shut);
    }

    fn over(&mut self, conn: ConnId) {
        if let Some((other, _)) = self.ends.remove(&conn) {
            self.ends.remove(&other);
            self.hub.reset(other);
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Member { member, address } => {
                self.targets.insert(member, address);
            }
            Command::CutLinks { pairs } => {
                self.cut = pairs.into_iter().collect();
                for (conn, (_, pair)) in &self.ends {
                    self.hub.set_paused(*conn, self.cut.contains(pair));
                }
            }
            other => eprintln!("links cannot {other:?}"),
        }
    }
}
