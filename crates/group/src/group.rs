//! One member: membership, log, duties, leases and merged reports, joined by one turn.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{EndpointReport, Nanos};
use thiserror::Error;

use crate::choices::{assignments, drains, next_owner, Fit};
use crate::duties::{Changed, Duties};
use crate::leases::{Book, Landlord, Lease, RangeLine};
use crate::members::Members;
use crate::pace::{Pace, Told, COMPACT};
use crate::raft::{Raft, Writing};
use crate::records::Recovered;
use crate::sums::{digests, told, Merger};
use crate::wire::{
    Act, Assign, Begin, Body, Cleared, Command, Duty, Entry, Envelope, Epoch, Give, Index, Move, Node,
    Others, Propose, Renew, Renewed, Seat, Seats, Standing,
};
use crate::Planted;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Charter {
    pub me: Node,
    /// Where others reach it.
    pub address: String,
    /// Of the group; members of groups of other names are not heard.
    pub name: String,
    /// The voters that the group began with.
    pub seats: Vec<Seat>,
    /// It comes later and is taken in by an order; until then it only learns who is there.
    pub joining: bool,
    pub told: Told,
    pub seed: u64,
    /// What there is to be held.
    pub duties: Vec<Duty>,
    pub planted: Option<Planted>,
}

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: Node,
        address: String,
        envelope: Envelope,
    },
    /// To be kept and synced, then [`Group::stored`].
    Write(Writing),
    /// An operator's request is in force, or never will be by this way.
    Answer {
        ticket: u64,
        result: Result<Index, Refusal>,
    },
    Changed(Changed),
    /// A leader's snapshot stands in place of all changes up to it.
    Restored,
    /// What all others met of late.
    Others(Vec<EndpointReport>),
    Remark(String),
}

/// Why an order was not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    #[error("no leader is known: {there} of {seats} controllers are reached, {needed} are needed; nothing was ordered")]
    NoLeader { there: usize, seats: usize, needed: usize },
    #[error(
        "not agreed in time; it may still come into force: look at the duties before it is ordered again"
    )]
    Late,
    #[error("{0}")]
    Stale(&'static str),
    #[error("this controller's log cannot be written; order by another one")]
    Broken,
}

/// How a member stands to its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Leads,
    Follows(Node),
    /// It reaches no leader: published tables and its own rules go on, orders are refused.
    Alone,
    /// Its log cannot be written.
    Broken,
}

#[derive(Debug)]
struct Pending {
    command: Command,
    until: Nanos,
    ticket: Option<u64>,
    sent: Option<Nanos>,
    term: u64,
}

/// One member of a group.
#[derive(Debug)]
pub struct Group {
    charter: Charter,
    pace: Pace,
    hash: u64,
    raft: Raft,
    members: Members,
    duties: Duties,
    applied: Index,
    lease: Lease,
    renew_at: Nanos,
    book: Option<Book>,
    landlord: Landlord,
    merger: Merger,
    others_epoch: Epoch,
    fits: BTreeMap<u32, Fit>,
    pending: BTreeMap<u64, Pending>,
    requests: u64,
    look_at: Nanos,
    state: State,
    effects: Vec<Effect>,
}

impl Group {
    /// `kept`: what its file said, or nothing at a first start.
    pub fn new(charter: Charter, now: Nanos, kept: Option<Recovered>) -> Self {
        let pace = Pace::new(charter.told);
        let seats = Seats { voters: charter.seats.clone(), learners: Vec::new() };
        let begun = if charter.joining { Seats::default() } else { seats };
        let mut kept = kept.unwrap_or_default();
        if kept.base.index == 0 {
            kept.base.seats = Some(begun);
        }
        let state = Duties::decode(&kept.base.state);
        let (planted, seed) = (charter.planted, charter.seed);
        let applied = kept.base.index;
        let raft = Raft::new(charter.me, now, kept, pace, seed, planted);
        let seeds: Vec<(Node, String)> =
            charter.seats.iter().map(|seat| (seat.number, seat.address.clone())).collect();
        let members = Members::new(charter.me, &charter.address, raft.boot(), &seeds, pace, seed);
        let hash = u64::from(crc32c::crc32c(charter.name.as_bytes()));
        let requests = (u64::from(charter.me) + 1) << 48 | (raft.boot() & 0xffff) << 32;
        let mut group = Group {
            pace,
            hash,
            raft,
            members,
            duties: state.unwrap_or_default(),
            applied,
            lease: Lease::default(),
            renew_at: now,
            book: None,
            landlord: Landlord::new(&pace, now),
            merger: Merger::default(),
            others_epoch: 0,
            fits: BTreeMap::new(),
            pending: BTreeMap::new(),
            requests,
            look_at: now,
            state: State::Alone,
            effects: Vec::new(),
            charter,
        };
        if Duties::decode(group.raft.base_state()).is_err() {
            // Without it nothing after it means anything: it is learned anew from the leader's snapshot.
            group.raft.failed();
            group.remark(
                "the kept state cannot be read; move the file away to take this member in as a new one"
                    .into(),
            );
        }
        group
    }

    fn remark(&mut self, text: String) {
        self.effects.push(Effect::Remark(text));
    }

    // What is known.

    pub fn me(&self) -> Node {
        self.charter.me
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn duties(&self) -> &Duties {
        &self.duties
    }

    pub fn seats(&self) -> Seats {
        self.raft.seats()
    }

    /// Term, last entry, committed, carried out, begin of the log.
    pub fn log(&self) -> (u64, Index, Index, Index, Index) {
        (self.raft.term(), self.raft.last(), self.raft.commit(), self.applied, self.raft.base())
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn leads(&self) -> bool {
        self.raft.leads()
    }

    /// May it give forwarders lines of ranges at this moment?
    pub fn may_lease(&self, now: Nanos) -> bool {
        self.lease.holds(now, self.applied) || self.charter.planted == Some(Planted::NoFence)
    }

    /// The highest epoch of any operation's table: what all that is published carries at least.
    pub fn fence(&self) -> Epoch {
        let tables = self.duties.duties().iter().filter(|(duty, _)| matches!(duty, Duty::Table(_)));
        tables.map(|(_, held)| held.epoch).max().unwrap_or(0)
    }

    pub fn tenure(&self) -> Nanos {
        self.pace.tenure()
    }

    /// When [`Group::turn`] is due.
    pub fn next(&self) -> Nanos {
        let cleared = self.landlord.next(&self.pace, &self.duties).unwrap_or(Nanos::MAX);
        self.raft
            .next()
            .min(self.members.next())
            .min(self.look_at)
            .min(self.renew_at)
            .min(cleared.max(self.look_at))
    }

    // What comes.

    /// A message of another member, in time order with all else.
    pub fn heard(&mut self, now: Nanos, envelope: Envelope) {
        let from = envelope.from;
        if envelope.to != self.charter.me || envelope.group != self.hash || from == self.charter.me {
            return;
        }
        match envelope.body {
            Some(Body::Gossip(gossip)) => self.members.heard(now, from, gossip),
            Some(Body::Propose(Propose { command: Some(command) })) => self.take(now, command),
            Some(Body::Renew(Renew { sent })) => {
                let book = self.book.as_mut().filter(|_| self.raft.holds(now));
                if let Some(book) = book {
                    book.grant(now, &self.pace, from);
                    self.send(from, Body::Renewed(Renewed { sent, commit: self.applied }));
                }
            }
            Some(Body::Renewed(Renewed { sent, commit })) => {
                // An answer to a question of a time to come is no answer to ours.
                self.lease.renewed(&self.pace, sent.min(now), commit);
            }
            Some(Body::Sums(sums)) => {
                let members = self.seated();
                self.merger.add(from, &sums, &members);
            }
            Some(Body::Others(others)) => {
                let known = self.duties.held(Duty::Reports).map_or(0, |held| held.epoch);
                let unfenced = self.charter.planted == Some(Planted::NoFence);
                if others.epoch >= self.others_epoch.max(known) || unfenced {
                    self.others_epoch = others.epoch;
                    let rows = digests(&others.sums.unwrap_or_default());
                    self.effects.push(Effect::Others(rows));
                }
            }
            Some(body) => self.raft.heard(now, from, body),
            None => {}
        }
    }

    /// All writes up to this one are synced.
    pub fn stored(&mut self, now: Nanos, number: u64) {
        self.raft.stored(now, number);
    }

    /// The disk refused; nothing is promised any more until a restart.
    pub fn store_failed(&mut self, why: &str) {
        self.raft.failed();
        self.remark(format!(
            "the group's log cannot be written ({why}): this controller votes and leads no more"
        ));
    }

    /// An operator's order; answered by [`Effect::Answer`] with its ticket.
    pub fn order(&mut self, now: Nanos, ticket: u64, act: Act) {
        let refusal = match self.state {
            State::Broken => Some(Refusal::Broken),
            State::Alone => {
                let seats: Vec<Node> = self.seated();
                let there = seats.iter().filter(|&&seat| self.members.there(seat)).count();
                Some(Refusal::NoLeader { there, seats: seats.len(), needed: seats.len() / 2 + 1 })
            }
            _ => None,
        };
        match refusal {
            Some(refusal) => self.effects.push(Effect::Answer { ticket, result: Err(refusal) }),
            None => self.want(now, act, Some(ticket)),
        }
    }

    /// Own reports of one cycle: to whoever merges them.
    pub fn report<'a>(&mut self, reported: impl Iterator<Item = &'a EndpointReport>) {
        let Some(held) = self.duties.held(Duty::Reports) else { return };
        let (me, sums, members) = (self.charter.me, told(reported), self.seated());
        if held.holder != me {
            return self.send(held.holder, Body::Sums(sums));
        }
        self.merger.add(me, &sums, &members);
        for to in members {
            let (sums, supervisors) = self.merger.take(to);
            if to == me {
                self.effects.push(Effect::Others(digests(&sums)));
            } else if self.members.there(to) {
                let others = Others { epoch: held.epoch, sums: Some(sums), supervisors };
                self.send(to, Body::Others(others));
            }
        }
    }

    /// What servers are like, whenever that changed.
    pub fn servers(&mut self, fits: BTreeMap<u32, Fit>) {
        self.fits = fits;
    }

    /// A forwarder asks for key ranges: see [`Landlord::asked`].
    pub fn ranges_asked(
        &mut self,
        now: Nanos,
        stream: u64,
        seen: u64,
        holds: &[(u32, Epoch)],
    ) -> (u64, Option<Vec<RangeLine>>) {
        let may = self.may_lease(now);
        self.landlord.asked(now, stream, (seen, holds), &self.duties, may)
    }

    /// What still stands of key ranges, to be said when one leaves its owner: see [`Landlord::standing`].
    pub fn ranges_standing(&mut self) -> (u64, Vec<RangeLine>) {
        self.landlord.standing(&self.duties)
    }

    /// Stops in order: others need not find out.
    pub fn leave(&mut self, now: Nanos) -> Vec<Effect> {
        self.members.leave(now);
        self.turn(now)
    }

    // What follows.

    /// All that is due, and what is to be done about it.
    pub fn turn(&mut self, now: Nanos) -> Vec<Effect> {
        self.members.tick(now);
        self.raft.tick(now);
        if now >= self.look_at {
            self.look_at = now + self.pace.heartbeat();
            self.look(now);
        }
        if now >= self.renew_at {
            self.renew_at = now + self.pace.renewal();
            self.renew(now);
        }
        loop {
            let turn = self.raft.turn();
            let quiet = turn.sends.is_empty()
                && turn.writing.is_none()
                && turn.committed.is_empty()
                && turn.restored.is_none();
            self.effects.extend(turn.writing.map(Effect::Write));
            for (to, body) in turn.sends {
                self.send(to, body);
            }
            if let Some(base) = turn.restored {
                self.restored(&base);
            }
            for entry in turn.committed {
                self.apply(&entry);
            }
            self.give_safe(now);
            if quiet {
                break;
            }
        }
        if self.applied >= self.raft.base() + COMPACT {
            self.raft.compact(self.applied, self.duties.encode());
        }
        for change in self.members.changes() {
            let stands = match change.standing {
                Standing::Alive => "is there",
                Standing::Suspect => "does not answer",
                Standing::Dead => "is held for dead",
                Standing::Left => "has left",
            };
            self.remark(format!("controller {} {stands}", change.number));
        }
        for (to, gossip) in self.members.sends() {
            self.send(to, Body::Gossip(gossip));
        }
        self.restate();
        std::mem::take(&mut self.effects)
    }

    fn restate(&mut self) {
        let state = match self.raft.leader() {
            _ if self.raft.broken => State::Broken,
            Some(leader) if leader == self.charter.me => State::Leads,
            Some(leader) => State::Follows(leader),
            None => State::Alone,
        };
        if state != std::mem::replace(&mut self.state, state) {
            let term = self.raft.term();
            self.remark(match state {
                State::Leads => format!("leads the group in term {term}"),
                State::Follows(leader) => format!("follows controller {leader} in term {term}"),
                State::Alone => {
                    "reaches no leader: tables and rules go on, orders and moves of ranges wait".into()
                }
                State::Broken => "takes no part in the group any more".into(),
            });
        }
    }

    fn seated(&self) -> Vec<Node> {
        let seats = self.raft.seats();
        seats.voters.iter().chain(&seats.learners).map(|seat| seat.number).collect()
    }

    fn send(&mut self, to: Node, body: Body) {
        let seats = self.raft.seats();
        let known =
            |seats: &[Seat]| seats.iter().find(|seat| seat.number == to).map(|seat| seat.address.clone());
        // What this one's own file says is nearest to how it reaches others.
        let address = known(&self.charter.seats)
            .or_else(|| self.members.address(to).map(str::to_owned))
            .or_else(|| known(&seats.voters))
            .or_else(|| known(&seats.learners));
        if let Some(address) = address {
            let envelope = Envelope { from: self.charter.me, to, group: self.hash, body: Some(body) };
            self.effects.push(Effect::Send { to, address, envelope });
        }
    }

    fn restored(&mut self, base: &crate::wire::Snapshot) {
        match Duties::decode(&base.state) {
            Ok(duties) => {
                self.duties = duties;
                self.applied = base.index;
                self.effects.push(Effect::Restored);
                self.remark(format!("took over all that was agreed up to entry {}", base.index));
            }
            Err(error) => {
                self.raft.failed();
                self.remark(format!("the leader's snapshot cannot be read ({error})"));
            }
        }
    }

    fn apply(&mut self, entry: &Entry) {
        self.applied = entry.index;
        self.duties.follows(entry);
        let Some(command) = &entry.command else { return };
        let changed = self.duties.apply(entry.index, entry.term, command, self.charter.planted);
        if let Some(pending) = self.pending.remove(&command.request) {
            if let Some(ticket) = pending.ticket {
                let result = match changed {
                    Changed::Stale(why) => Err(Refusal::Stale(why)),
                    _ => Ok(entry.index),
                };
                self.effects.push(Effect::Answer { ticket, result });
            }
        }
        self.effects.push(Effect::Changed(changed));
    }

    /// The leader gives ranges away that nobody can use any more.
    fn give_safe(&mut self, now: Nanos) {
        match self.raft.leads_since().filter(|_| self.raft.leads()) {
            None => self.book = None,
            Some(since) => {
                let members = self.seated();
                let book = self.book.get_or_insert_with(|| Book::new(&self.pace, since));
                let mut safe = book.safe(now, &self.pace, &self.duties, &members);
                if self.charter.planted == Some(Planted::NoFence) {
                    let moving = self.duties.ranges().iter();
                    safe = moving.filter_map(|(&range, o)| Some((range, o.moving.as_ref()?.moved))).collect();
                }
                let term = self.raft.term();
                for (range, moved) in safe {
                    self.want(now, Act::Give(Give { range, moved, term }), None);
                }
            }
        }
    }

    fn renew(&mut self, now: Nanos) {
        if self.raft.holds(now) {
            if let Some(book) = &mut self.book {
                book.grant(now, &self.pace, self.charter.me);
                self.lease.renewed(&self.pace, now, self.applied);
            }
        } else if let Some(leader) = self.raft.leader().filter(|&leader| leader != self.charter.me) {
            self.send(leader, Body::Renew(Renew { sent: now }));
        }
    }

    /// What there is to do for whoever leads or holds a duty, and what was asked for and is not answered yet.
    fn look(&mut self, now: Nanos) {
        let me = self.charter.me;
        for (range, moved) in self.landlord.cleared(now, &self.pace, me, &self.duties) {
            self.want(now, Act::Cleared(Cleared { range, moved, by: me }), None);
        }
        let held: Vec<(Duty, Epoch)> = self
            .duties
            .duties()
            .iter()
            .filter(|(_, held)| held.holder == me)
            .map(|(&duty, held)| (duty, held.epoch))
            .collect();
        for (duty, epoch) in held {
            match duty {
                Duty::Drains(locality) => {
                    let listed =
                        self.fits.values().filter(|fit| fit.locality == locality && fit.listed).count();
                    for order in drains(&self.duties, locality, listed) {
                        self.want(now, Act::Begin(Begin { order, epoch }), None);
                    }
                }
                Duty::Range(range) => {
                    if let Some(to) = next_owner(&self.duties, range, &self.fits) {
                        self.want(now, Act::Move(Move { range, to, epoch }), None);
                    }
                }
                Duty::Reports | Duty::Table(_) => {}
            }
        }
        if self.raft.leads() {
            self.lead(now);
        }
        self.repeat(now);
    }

    fn lead(&mut self, now: Nanos) {
        let seats = self.raft.seats();
        let voters: Vec<Node> = seats.voters.iter().map(|seat| seat.number).collect();
        let there: BTreeSet<Node> =
            voters.iter().copied().filter(|&voter| self.members.there(voter)).collect();
        let span = self.pace.settled();
        let settled: BTreeSet<Node> =
            there.iter().copied().filter(|&voter| self.members.alive_for(now, voter, span)).collect();
        let wanted = self.charter.duties.clone();
        for (duty, holder) in assignments(&self.duties, &wanted, &there, &settled) {
            self.want(now, Act::Assign(Assign { duty: Some(duty.into()), holder }), None);
        }
        self.reseat(now, seats);
    }

    /// One change of seats at a time, as ordered; a learner votes once it has nearly all.
    fn reseat(&mut self, now: Nanos, mut seats: Seats) {
        let is = |seats: &[Seat], number: Node| seats.iter().any(|seat| seat.number == number);
        if let Some(seat) = self.raft.ripe() {
            seats.learners.retain(|other| other.number != seat.number);
            seats.voters.push(seat);
            let _ = self.raft.reseat(now, seats);
            return;
        }
        for change in self.duties.seats().values() {
            let Some(seat) = &change.seat else { continue };
            let (votes, learns) = (is(&seats.voters, seat.number), is(&seats.learners, seat.number));
            let mut next = seats.clone();
            if change.out && (votes || learns) && (next.voters.len() > 1 || !votes) {
                next.voters.retain(|other| other.number != seat.number);
                next.learners.retain(|other| other.number != seat.number);
            } else if !change.out && !votes && !learns {
                next.learners.push(seat.clone());
            } else {
                continue;
            }
            // Not now: it is looked at again at the next heartbeat.
            let _ = self.raft.reseat(now, next);
            return;
        }
    }

    /// Asks for a command once, until it is carried out or given up.
    fn want(&mut self, now: Nanos, act: Act, ticket: Option<u64>) {
        let asked = self.pending.values().any(|pending| pending.command.act.as_ref() == Some(&act));
        if ticket.is_none() && asked {
            return;
        }
        self.requests += 1;
        let command = Command { request: self.requests, act: Some(act) };
        let until = now + self.pace.patience();
        self.pending.insert(self.requests, Pending { command, until, ticket, sent: None, term: 0 });
        self.repeat(now);
    }

    fn repeat(&mut self, now: Nanos) {
        let over: Vec<u64> =
            self.pending.iter().filter(|(_, pending)| now >= pending.until).map(|(&id, _)| id).collect();
        for id in over {
            let ticket = self.pending.remove(&id).and_then(|pending| pending.ticket);
            self.effects.extend(ticket.map(|ticket| Effect::Answer { ticket, result: Err(Refusal::Late) }));
        }
        let (leader, term, resend) = (self.raft.leader(), self.raft.term(), self.pace.resend());
        let due: Vec<Command> = self
            .pending
            .values_mut()
            // Once a term to a leader's own log; to another's every now and then, since messages get lost.
            .filter(|pending| {
                pending.term != term
                    || (leader != Some(self.charter.me)
                        && pending.sent.is_none_or(|sent| now >= sent + resend))
            })
            .map(|pending| {
                (pending.sent, pending.term) = (Some(now), if leader.is_some() { term } else { 0 });
                pending.command.clone()
            })
            .collect();
        for command in due {
            match leader {
                Some(leader) if leader == self.charter.me => self.take(now, command),
                Some(leader) => self.send(leader, Body::Propose(Propose { command: Some(command) })),
                None => {}
            }
        }
    }

    /// For the leader's log, unless it stands there already.
    fn take(&mut self, now: Nanos, command: Command) {
        if !self.duties.knows(command.request) && !self.raft.has(command.request) {
            self.raft.propose(now, command);
        }
    }
}
