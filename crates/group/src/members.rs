//! Who is there: failure detection in the manner of SWIM (Das, Gupta, Motivala 2002): direct and indirect probes,
//! suspicion that its subject may refute by a higher incarnation, and rumours that go along with probes.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use shalereel::interface::Nanos;

use crate::pace::{Pace, INDIRECT, RUMOURS};
use crate::wire::{Gossip, Node, Probe, Rumour, Standing};

/// Every so many periods one of the dead is probed too: after a split both sides hold each other for dead.
const REACH_FOR_DEAD: u64 = 2;

/// What is known of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub address: String,
    pub incarnation: u64,
    pub standing: Standing,
    /// Since when it stands so, by one's own clock.
    pub since: Nanos,
    tellings: u32,
}

impl Member {
    fn rank(&self) -> (u64, Standing) {
        (self.incarnation, self.standing)
    }
}

/// A change of what is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub number: Node,
    pub standing: Standing,
    pub incarnation: u64,
}

#[derive(Debug)]
struct Probing {
    target: Node,
    seq: u64,
    sent: Nanos,
    indirect: bool,
}

/// One member's view of all.
#[derive(Debug)]
pub struct Members {
    me: Node,
    pace: Pace,
    chance: Rand64,
    known: BTreeMap<Node, Member>,
    /// Those still to be probed in this round, the next one last.
    round: Vec<Node>,
    probing: Option<Probing>,
    period_over: Nanos,
    periods: u64,
    seq: u64,
    /// Probes on behalf of others: who asked, with which number.
    errands: BTreeMap<u64, (Node, u64, Nanos)>,
    changes: Vec<Change>,
    out: Vec<(Node, Gossip)>,
}

fn standing(rumour: &Rumour) -> Standing {
    Standing::try_from(rumour.standing).unwrap_or(Standing::Alive)
}

impl Members {
    /// `boot`: how many starts there were before; a later start has a higher incarnation than all earlier ones.
    pub fn new(me: Node, address: &str, boot: u64, seeds: &[(Node, String)], pace: Pace, seed: u64) -> Self {
        let mut members = Members {
            me,
            pace,
            chance: Rand64::new(u128::from(seed) << 32 | u128::from(me)),
            known: BTreeMap::new(),
            round: Vec::new(),
            probing: None,
            period_over: 0,
            periods: 0,
            seq: boot << 32,
            errands: BTreeMap::new(),
            changes: Vec::new(),
            out: Vec::new(),
        };
        let mut learn = |number: Node, address: &str, incarnation: u64| {
            let member = Member {
                address: address.to_owned(),
                incarnation,
                standing: Standing::Alive,
                since: 0,
                tellings: 0,
            };
            members.known.insert(number, member);
        };
        for (number, address) in seeds.iter().filter(|seed| seed.0 != me) {
            learn(*number, address, 0);
        }
        learn(me, address, boot << 16);
        let tellings = members.pace.tellings(members.known.len());
        if let Some(own) = members.known.get_mut(&me) {
            own.tellings = tellings;
        }
        members
    }

    pub fn known(&self) -> &BTreeMap<Node, Member> {
        &self.known
    }

    pub fn address(&self, number: Node) -> Option<&str> {
        self.known.get(&number).map(|member| member.address.as_str())
    }

    /// Is it held for alive, without a break for `span`?
    pub fn alive_for(&self, now: Nanos, number: Node, span: Nanos) -> bool {
        number == self.me
            || self
                .known
                .get(&number)
                .is_some_and(|member| member.standing == Standing::Alive && now >= member.since + span)
    }

    /// Not held for dead or gone: a suspect is still there.
    pub fn there(&self, number: Node) -> bool {
        let here = |member: &Member| matches!(member.standing, Standing::Alive | Standing::Suspect);
        number == self.me || self.known.get(&number).is_some_and(here)
    }

    /// When [`Members::tick`] is due.
    pub fn next(&self) -> Nanos {
        let direct = self.probing.as_ref().filter(|probing| !probing.indirect);
        let direct = direct.map_or(Nanos::MAX, |probing| probing.sent + self.pace.direct());
        direct.min(self.period_over)
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    pub fn sends(&mut self) -> Vec<(Node, Gossip)> {
        std::mem::take(&mut self.out)
    }

    /// Says to all that this one leaves for good.
    pub fn leave(&mut self, now: Nanos) {
        let Some(own) = self.known.get(&self.me).cloned() else { return };
        self.take(now, Rumour { standing: Standing::Left as i32, ..self.rumour(self.me, &own) }, true);
        let others: Vec<Node> = self.others(|_| true);
        for to in others {
            self.seq += 1;
            self.say(to, Probe::Ping, self.seq, to);
        }
    }

    fn others(&self, which: impl Fn(&Member) -> bool) -> Vec<Node> {
        self.known.iter().filter(|(&n, member)| n != self.me && which(member)).map(|(&n, _)| n).collect()
    }

    fn shuffled(&mut self, mut nodes: Vec<Node>) -> Vec<Node> {
        for at in (1..nodes.len()).rev() {
            nodes.swap(at, self.chance.rand_range(0..at as u64 + 1) as usize);
        }
        nodes
    }

    fn rumour(&self, number: Node, member: &Member) -> Rumour {
        Rumour {
            number,
            address: member.address.clone(),
            incarnation: member.incarnation,
            standing: member.standing as i32,
        }
    }

    fn say(&mut self, to: Node, probe: Probe, seq: u64, about: Node) {
        // What is told least often goes first; the one spoken to always hears what is held of it.
        let mut fresh: Vec<(u32, Node)> = self
            .known
            .iter()
            .filter(|(&number, member)| member.tellings > 0 && number != to)
            .map(|(&number, member)| (u32::MAX - member.tellings, number))
            .collect();
        fresh.sort_unstable();
        let of_it = self.known.get(&to).filter(|member| member.standing != Standing::Alive).map(|_| to);
        let chosen: Vec<Node> =
            of_it.into_iter().chain(fresh.into_iter().map(|(_, number)| number)).take(RUMOURS).collect();
        let mut rumours = Vec::new();
        for number in chosen {
            if let Some(member) = self.known.get_mut(&number) {
                member.tellings = member.tellings.saturating_sub(1);
                let member = member.clone();
                rumours.push(self.rumour(number, &member));
            }
        }
        let address = self.address(self.me).unwrap_or_default().to_owned();
        self.out.push((to, Gossip { probe: probe as i32, seq, about, rumours, address }));
    }

    /// Takes a rumour if it is newer than what is held. `own`: it is one's own finding.
    fn take(&mut self, now: Nanos, rumour: Rumour, own: bool) {
        let (number, stands) = (rumour.number, standing(&rumour));
        let tellings = self.pace.tellings(self.known.len());
        if number == self.me && !own {
            if let Some(me) = self.known.get_mut(&number) {
                let gone = me.standing == Standing::Left;
                if stands != Standing::Alive && rumour.incarnation >= me.incarnation && !gone {
                    me.incarnation = rumour.incarnation + 1;
                    me.tellings = tellings;
                }
            }
            return;
        }
        let old = self.known.get(&number);
        if old.is_some_and(|old| (rumour.incarnation, stands) <= old.rank()) {
            return;
        }
        let unbroken = old.filter(|old| old.standing == Standing::Alive && stands == Standing::Alive);
        let since = unbroken.map_or(now, |old| old.since);
        if old.is_none_or(|old| old.standing != stands) {
            self.changes.push(Change { number, standing: stands, incarnation: rumour.incarnation });
        }
        let member = Member {
            address: rumour.address,
            incarnation: rumour.incarnation,
            standing: stands,
            since,
            tellings,
        };
        self.known.insert(number, member);
    }

    /// A message of another member.
    pub fn heard(&mut self, now: Nanos, from: Node, gossip: Gossip) {
        if !self.known.contains_key(&from) {
            let standing = Standing::Alive as i32;
            let address = gossip.address.clone();
            self.take(now, Rumour { number: from, address, incarnation: 0, standing }, false);
        }
        for rumour in gossip.rumours {
            self.take(now, rumour, false);
        }
        match Probe::try_from(gossip.probe) {
            Ok(Probe::Ping) if gossip.about == self.me => self.say(from, Probe::Ack, gossip.seq, self.me),
            Ok(Probe::Indirect) => {
                self.seq += 1;
                self.errands.insert(self.seq, (from, gossip.seq, now));
                self.say(gossip.about, Probe::Ping, self.seq, gossip.about);
            }
            Ok(Probe::Ack) => {
                if let Some((asker, seq, _)) = self.errands.remove(&gossip.seq) {
                    self.say(asker, Probe::Ack, seq, gossip.about);
                }
                if self.probing.as_ref().is_some_and(|probing| probing.seq == gossip.seq) {
                    self.probing = None;
                }
            }
            // A ping for another: its address is this one's by now.
            _ => {}
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Nanos) {
        let late = self.probing.as_mut().filter(|probing| {
            !probing.indirect && now >= probing.sent + self.pace.direct() && now < self.period_over
        });
        if let Some(probing) = late {
            probing.indirect = true;
            let (target, seq) = (probing.target, probing.seq);
            let helpers = self.others(|member| member.standing == Standing::Alive);
            let helpers = self.shuffled(helpers.into_iter().filter(|&helper| helper != target).collect());
            for helper in helpers.into_iter().take(INDIRECT) {
                self.say(helper, Probe::Indirect, seq, target);
            }
        }
        if now < self.period_over {
            return;
        }
        // One that stood still judges nobody by what it did not hear meanwhile.
        let stood_still = now > self.period_over + self.pace.probe() && self.period_over > 0;
        self.period_over = now + self.pace.probe();
        self.periods += 1;
        if let Some(probing) = self.probing.take().filter(|_| !stood_still) {
            if let Some(member) = self.known.get(&probing.target).cloned() {
                if member.standing == Standing::Alive {
                    let standing = Standing::Suspect as i32;
                    self.take(now, Rumour { standing, ..self.rumour(probing.target, &member) }, true);
                }
            }
        }
        let patience = self.pace.suspicion(self.known.len());
        let suspects = self.others(|member| member.standing == Standing::Suspect);
        for number in suspects {
            let Some(member) = self.known.get_mut(&number) else { continue };
            if stood_still {
                member.since = now;
            } else if now >= member.since + patience {
                let member = member.clone();
                self.take(
                    now,
                    Rumour { standing: Standing::Dead as i32, ..self.rumour(number, &member) },
                    true,
                );
            }
        }
        self.errands.retain(|_, (_, _, begun)| *begun + patience > now);
        self.probe(now);
    }

    fn probe(&mut self, now: Nanos) {
        let here: BTreeSet<Node> = self
            .others(|member| matches!(member.standing, Standing::Alive | Standing::Suspect))
            .into_iter()
            .collect();
        self.round.retain(|node| here.contains(node));
        if self.round.is_empty() {
            let nodes = here.into_iter().collect();
            self.round = self.shuffled(nodes);
        }
        if let Some(target) = self.round.pop() {
            self.seq += 1;
            self.probing = Some(Probing { target, seq: self.seq, sent: now, indirect: false });
            self.say(target, Probe::Ping, self.seq, target);
        }
        if self.periods.is_multiple_of(REACH_FOR_DEAD) {
            let dead = self.others(|member| member.standing == Standing::Dead);
            let dead = self.shuffled(dead);
            if let Some(&target) = dead.first() {
                self.seq += 1;
                self.say(target, Probe::Ping, self.seq, target);
            }
        }
    }
}
