//! The second front: balancers that take weights alone, by SASP. It turns their messages into joins and marks,
//! and the tables into weights; what goes into the tables is decided where it is for every other proxy.
//! Free of I/O and clock.

use std::collections::BTreeMap;

use shalereel::interface::{Nanos, TableId};
use shalereel_sasp::weights::TableWeight;
use shalereel_sasp::{Advisor, Answer, Body, Bounds, Change, Frames, Group, Member, ReturnCode};

use crate::core::Peer;
use crate::endpoints::{EndpointList, MemberReport, Reporter};
use crate::patience::MESSAGE;
use crate::tables::Tables;

/// What the tables hold for a joined balancer.
pub struct View<'a> {
    pub tables: &'a Tables,
    pub roster: &'a EndpointList,
    pub operations: &'a [String],
    /// By operation; nothing where the balancer is on no table yet.
    pub bound: &'a BTreeMap<u16, TableId>,
    pub now: Nanos,
    pub cold_for: Nanos,
}

impl View<'_> {
    fn figure(&self, group: &Group, member: &Member) -> Option<TableWeight> {
        let at = self.operations.iter().position(|name| name.as_bytes() == group.name)? as u16;
        let table = *self.bound.get(&at)?;
        let server = self.roster.server_at(member.socket())?;
        let weight = self.tables.weight(table, server);
        let warming_up = self.roster.started_within(server, self.now, self.cold_for);
        Some(TableWeight { weight, warming_up })
    }
}

/// What came of a peer's bytes.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    Write(Vec<u8>),
    Joined {
        balancer: String,
    },
    /// A member said of itself, or a balancer of it, that it takes nothing new, or that it is there or gone.
    Member(MemberReport),
    /// The weights as they stand have been taken.
    Taken,
    End(String),
}

/// All connections of the second front.
#[derive(Debug)]
pub struct Advice {
    advisor: Advisor,
    interval: u16,
    frames: BTreeMap<Peer, Frames>,
}

impl Advice {
    pub fn new(bounds: Bounds) -> Self {
        Advice { advisor: Advisor::new(bounds), interval: bounds.interval, frames: BTreeMap::new() }
    }

    pub fn opened(&mut self, peer: Peer) {
        self.frames.insert(peer, Frames::new(MESSAGE));
        self.advisor.opened(peer);
    }

    pub fn knows(&self, peer: Peer) -> bool {
        self.frames.contains_key(&peer)
    }

    /// Once a report cycle.
    pub fn tick(&mut self) {
        self.advisor.tick();
    }

    pub fn heard(&mut self, peer: Peer, bytes: &[u8], view: &View<'_>) -> Vec<Outcome> {
        let Some(frames) = self.frames.get_mut(&peer) else { return Vec::new() };
        let (mut outcomes, mut changes) = (Vec::new(), Vec::new());
        frames.push(bytes);
        loop {
            let message = match frames.take() {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(error) => {
                    outcomes.push(Outcome::End(error.to_string()));
                    break;
                }
            };
            let lookup = |group: &Group, member: &Member| view.figure(group, member);
            let asks = matches!(message.body, Body::GetWeights { .. });
            // On no table yet, it has nothing to go by: weights of 0 would empty it.
            if asks && view.bound.is_empty() {
                let body =
                    Body::Weights { code: ReturnCode::TryLater, interval: self.interval, groups: Vec::new() };
                let reply = shalereel_sasp::Message { id: message.id, body };
                outcomes.push(Outcome::Write(reply.encode().to_vec()));
                continue;
            }
            for answer in self.advisor.handle_message(peer, message, &lookup, &mut changes) {
                match answer {
                    Answer::Send(_, reply) => {
                        if asks && matches!(reply.body, Body::Weights { code: ReturnCode::Successful, .. }) {
                            outcomes.push(Outcome::Taken);
                        }
                        outcomes.push(Outcome::Write(reply.encode().to_vec()));
                    }
                    Answer::Close(_, why) => outcomes.push(Outcome::End(why.to_owned())),
                }
            }
        }
        outcomes.extend(changes.into_iter().filter_map(|change| translated(peer, &self.advisor, change)));
        outcomes
    }

    /// The connection is over: what its members said of themselves counts no more.
    pub fn closed(&mut self, peer: Peer) -> Vec<Outcome> {
        self.frames.remove(&peer);
        let mut changes = Vec::new();
        self.advisor.closed(peer, &mut changes);
        changes.into_iter().filter_map(|change| translated(peer, &self.advisor, change)).collect()
    }

    /// What is to be pushed to a balancer that is on a table; nothing where it asks, or nothing changed.
    pub fn push(&mut self, peer: Peer, view: &View<'_>) -> Option<Vec<u8>> {
        let lookup = |group: &Group, member: &Member| view.figure(group, member);
        self.advisor.push(peer, &lookup).map(|message| message.encode().to_vec())
    }

    /// Does it want weights unasked?
    pub fn pushes(&self, peer: Peer) -> bool {
        self.advisor.pushes(peer)
    }
}

fn translated(peer: Peer, advisor: &Advisor, change: Change) -> Option<Outcome> {
    match change {
        Change::Joined { balancer, .. } => {
            Some(Outcome::Joined { balancer: String::from_utf8_lossy(&balancer).into_owned() })
        }
        Change::Left { .. } => None,
        Change::Member { member, registered, quiesce, .. } => {
            let by_balancer = advisor.is_balancer(peer);
            let reporter = if by_balancer { Reporter::Balancer } else { Reporter::Member };
            let zone = String::from_utf8_lossy(&member.label).into_owned();
            let address = member.socket();
            Some(Outcome::Member(MemberReport {
                address,
                zone,
                reporter,
                present: registered,
                quiesced: quiesce,
            }))
        }
    }
}
