//! The leader-led log, after Raft (Ongaro, Ousterhout 2014; Ongaro's thesis 2014): elections with a first round that
//! promises nothing, a quorum that is checked, commitment of the own term only, changes of one seat at a time,
//! snapshots. Nothing is promised before it is kept: what must be synced first is held back until it is.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;
use shalereel::interface::Nanos;

use crate::log::Log;
use crate::pace::Pace;
use crate::records::{record, Recovered};
use crate::wire::{
    Append, Appended, Ask, Body, Command, Entry, Index, Kept, Node, Record, Seat, Seats, Snapshot, Vote,
    Voted,
};
use crate::Planted;

/// How a leader sees one other member.
#[derive(Debug, Default)]
struct Follower {
    next: Index,
    matched: Index,
    /// The newest heartbeat that it answered.
    round: u64,
    /// Entries are under way since then.
    sent: Option<Nanos>,
}

#[derive(Debug)]
struct Lead {
    followers: BTreeMap<Node, Follower>,
    round: u64,
    /// When each heartbeat left that a quorum has not answered yet.
    left: VecDeque<(u64, Nanos)>,
    /// When the newest heartbeat left that a quorum has answered; votes alone are no promise to stay.
    held: Option<Nanos>,
    since: Nanos,
    beat_at: Nanos,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre: bool, granted: BTreeSet<Node> },
    Leader(Lead),
}

/// Records to be kept, and whether they replace the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Writing {
    pub number: u64,
    pub whole: bool,
    pub records: Vec<Record>,
}

/// What a step brought about.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    pub sends: Vec<(Node, Body)>,
    pub writing: Option<Writing>,
    /// Newly committed, in order.
    pub committed: Vec<Entry>,
    /// A leader's snapshot stands in place of all that was carried out.
    pub restored: Option<Snapshot>,
}

/// One member of the log.
#[derive(Debug)]
pub(crate) struct Raft {
    me: Node,
    pace: Pace,
    chance: Rand64,
    boot: u64,
    term: u64,
    voted: Option<Node>,
    log: Log,
    role: Role,
    leader: Option<Node>,
    /// When a leader was last heard of; a start counts, since promises made before it are forgotten.
    heard: Nanos,
    election_at: Nanos,
    commit: Index,
    applied: Index,
    /// How far the log agrees with the leader's of this term.
    agreed: Index,
    /// The last write begun, and those not done yet.
    writes: u64,
    stored: u64,
    unkept: Vec<Record>,
    whole: bool,
    /// Waits until the write with its number is done.
    held: VecDeque<(u64, Node, Body)>,
    out: Vec<(Node, Body)>,
    restored: Option<Snapshot>,
    /// Its disk failed: it promises nothing any more.
    pub(crate) broken: bool,
    planted: Option<Planted>,
}

fn seat(seats: &Seats, number: Node) -> bool {
    seats.voters.iter().any(|seat| seat.number == number)
}

impl Raft {
    pub(crate) fn new(
        me: Node,
        now: Nanos,
        kept: Recovered,
        pace: Pace,
        seed: u64,
        planted: Option<Planted>,
    ) -> Self {
        let boot = kept.boot + 1;
        let base = kept.base.index;
        let mut raft = Raft {
            me,
            pace,
            chance: Rand64::new((u128::from(seed) << 64) | (u128::from(boot) << 16) | u128::from(me)),
            boot,
            term: kept.vote.term.max(kept.base.index_term),
            voted: kept.vote.voted,
            log: Log::recovered(kept.base, kept.entries),
            role: Role::Follower,
            leader: None,
            heard: now,
            election_at: now,
            commit: base,
            applied: base,
            agreed: 0,
            writes: 0,
            stored: 0,
            unkept: vec![record(Kept::Boot(boot))],
            whole: false,
            held: VecDeque::new(),
            out: Vec::new(),
            restored: None,
            broken: false,
            planted,
        };
        raft.election_at = now + raft.pace.election() + raft.draw();
        raft
    }

    fn draw(&mut self) -> Nanos {
        let draw = self.chance.rand_float();
        self.pace.election_drawn(draw)
    }

    pub(crate) fn boot(&self) -> u64 {
        self.boot
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn leader(&self) -> Option<Node> {
        self.leader
    }

    pub(crate) fn commit(&self) -> Index {
        self.commit
    }

    pub(crate) fn last(&self) -> Index {
        self.log.last().0
    }

    pub(crate) fn base(&self) -> Index {
        self.log.base().index
    }

    pub(crate) fn base_state(&self) -> &[u8] {
        &self.log.base().state
    }

    pub(crate) fn seats(&self) -> Seats {
        self.log.seats().1
    }

    /// Does it lead, and has it committed in its own term? Only then it knows all that was ever committed.
    pub(crate) fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_)) && self.log.term(self.commit) == Some(self.term)
    }

    /// Since when it leads.
    pub(crate) fn leads_since(&self) -> Option<Nanos> {
        match &self.role {
            Role::Leader(lead) => Some(lead.since),
            _ => None,
        }
    }

    /// May it speak for the group at this moment? Until a quorum may have turned to another leader.
    pub(crate) fn holds(&self, now: Nanos) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let span = self.pace.not_before(self.pace.election());
        self.leads() && lead.held.is_some_and(|held| now < held + span)
    }

    /// When [`Raft::tick`] is due.
    pub(crate) fn next(&self) -> Nanos {
        match &self.role {
            Role::Leader(lead) => lead.beat_at,
            _ => self.election_at,
        }
    }

    /// All that has to leave after a step.
    pub(crate) fn turn(&mut self) -> Turn {
        let writing = (!self.unkept.is_empty()).then(|| {
            self.writes += 1;
            self.log.begin_write(self.writes);
            Writing {
                number: self.writes,
                whole: std::mem::take(&mut self.whole),
                records: std::mem::take(&mut self.unkept),
            }
        });
        if self.planted == Some(Planted::NoSync) && writing.is_some() {
            self.stored(0, self.writes);
        }
        let mut committed = Vec::new();
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else { break };
            committed.push(entry.clone());
            self.applied += 1;
        }
        let sends = std::mem::take(&mut self.out);
        Turn { sends, writing, committed, restored: self.restored.take() }
    }

    fn keep(&mut self, kept: Kept) {
        self.unkept.push(record(kept));
    }

    fn keep_vote(&mut self) {
        self.keep(Kept::Vote(Vote { term: self.term, voted: self.voted }));
    }

    /// Says something that promises what is not kept yet.
    fn promise(&mut self, to: Node, body: Body) {
        let needed = self.writes + u64::from(!self.unkept.is_empty());
        if needed <= self.stored {
            self.out.push((to, body));
        } else {
            self.held.push_back((needed, to, body));
        }
    }

    /// A write is done, and with it all before it.
    pub(crate) fn stored(&mut self, now: Nanos, number: u64) {
        if self.broken {
            return;
        }
        self.stored = self.stored.max(number);
        self.log.wrote(number);
        while self.held.front().is_some_and(|(needed, ..)| *needed <= self.stored) {
            if let Some((_, to, body)) = self.held.pop_front() {
                self.out.push((to, body));
            }
        }
        match &mut self.role {
            Role::Candidate { granted, .. } if self.writes == self.stored && self.unkept.is_empty() => {
                granted.insert(self.me);
                self.count(now);
            }
            Role::Leader(_) => self.advance(now),
            _ => {
                if let Some(leader) = self.leader.filter(|_| self.agreed > 0) {
                    let index = self.agreed.min(self.log.stored());
                    self.out.push((
                        leader,
                        Body::Appended(Appended { term: self.term, fits: true, index, round: 0 }),
                    ));
                }
            }
        }
    }

    /// The disk does not keep what it is given: from now on this one neither leads, votes nor confirms.
    pub(crate) fn failed(&mut self) {
        self.broken = true;
        self.held.clear();
        self.role = Role::Follower;
        self.leader = None;
    }

    pub(crate) fn tick(&mut self, now: Nanos) {
        if self.broken {
            self.election_at = now + self.pace.election();
            return;
        }
        if let Role::Leader(lead) = &self.role {
            if now < lead.beat_at {
                return;
            }
            // A leader that no quorum answers cannot know whether it still is one.
            if now > lead.held.unwrap_or(lead.since) + self.pace.election() + self.pace.heartbeat()
                && !self.alone()
            {
                return self.follow(now, self.term, None);
            }
            self.beat(now);
        } else if now >= self.election_at {
            self.election_at = now + self.draw();
            if seat(&self.seats(), self.me) {
                self.stand(now, true);
            }
        }
    }

    fn alone(&self) -> bool {
        let seats = self.seats();
        seats.voters.len() == 1 && seat(&seats, self.me)
    }

    fn follow(&mut self, now: Nanos, term: u64, leader: Option<Node>) {
        if term > self.term {
            self.term = term;
            self.voted = None;
            self.agreed = 0;
            self.keep_vote();
        }
        if self.leader != leader {
            self.agreed = 0;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.election_at = now + self.draw();
    }

    fn voters(&self) -> Vec<Node> {
        self.seats().voters.iter().map(|seat| seat.number).collect()
    }

    fn others(&self) -> Vec<Node> {
        let seats = self.seats();
        let all = seats.voters.iter().chain(&seats.learners).map(|seat| seat.number);
        all.filter(|&number| number != self.me).collect()
    }

    fn stand(&mut self, now: Nanos, pre: bool) {
        self.leader = None;
        let mut term = self.term + 1;
        let mut granted = BTreeSet::new();
        if pre {
            granted.insert(self.me);
        } else {
            self.term = term;
            self.voted = Some(self.me);
            self.agreed = 0;
            self.keep_vote();
            term = self.term;
        }
        self.role = Role::Candidate { pre, granted };
        let (last_index, last_term) = self.log.last();
        let me = self.me;
        for to in self.voters().into_iter().filter(|&to| to != me) {
            let ask = Body::Ask(Ask { term, last_index, last_term, pre });
            if pre {
                self.out.push((to, ask));
            } else {
                self.promise(to, ask);
            }
        }
        self.count(now);
    }

    fn count(&mut self, now: Nanos) {
        let voters = self.voters();
        let Role::Candidate { pre, granted } = &self.role else { return };
        let yes = voters.iter().filter(|voter| granted.contains(voter)).count();
        if 2 * yes <= voters.len() {
            return;
        }
        if *pre {
            self.stand(now, false);
        } else {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Nanos) {
        let next = self.log.last().0 + 1;
        let fresh = |number: Node| (number, Follower { next, ..Follower::default() });
        let followers = self.others().into_iter().map(fresh).collect();
        let (left, held) = (VecDeque::new(), None);
        self.role = Role::Leader(Lead { followers, round: 0, left, held, since: now, beat_at: now });
        self.leader = Some(self.me);
        self.append(None, None);
        self.beat(now);
    }

    fn append(&mut self, command: Option<Command>, seats: Option<Seats>) -> Index {
        let index = self.log.last().0 + 1;
        let entry = Entry { index, term: self.term, command, seats };
        self.log.put(entry.clone());
        self.keep(Kept::Entry(entry));
        index
    }

    /// For the leader: one more command. Nothing where it does not lead.
    pub(crate) fn propose(&mut self, now: Nanos, command: Command) -> Option<Index> {
        if !matches!(self.role, Role::Leader(_)) || self.broken {
            return None;
        }
        let index = self.append(Some(command), None);
        self.spread(now);
        Some(index)
    }

    /// Does a request stand in the log and wait to be committed?
    pub(crate) fn has(&self, request: u64) -> bool {
        let waiting = self.log.from(self.commit + 1).iter();
        waiting.filter_map(|entry| entry.command.as_ref()).any(|command| command.request == request)
    }

    /// For the leader: one seat more or less. Errors: why not now.
    pub(crate) fn reseat(&mut self, now: Nanos, wanted: Seats) -> Result<Index, &'static str> {
        if !self.leads() {
            return Err("it has committed nothing in its term yet");
        }
        let (at, seats) = self.log.seats();
        if at > self.commit {
            return Err("another change of seats is under way");
        }
        let set = |seats: &Seats| seats.voters.iter().map(|seat| seat.number).collect::<BTreeSet<_>>();
        if set(&seats).symmetric_difference(&set(&wanted)).count() > 1 || wanted.voters.is_empty() {
            return Err("one voter at a time");
        }
        let index = self.append(None, Some(wanted));
        let others = self.others();
        let next = self.log.last().0;
        if let Role::Leader(lead) = &mut self.role {
            lead.followers.retain(|number, _| others.contains(number));
            for number in others {
                lead.followers.entry(number).or_insert(Follower { next, ..Follower::default() });
            }
        }
        self.spread(now);
        Ok(index)
    }

    /// Does a learner have nearly all, so that its vote would hold nobody up?
    pub(crate) fn caught_up(&self, number: Node) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        lead.followers.get(&number).is_some_and(|follower| {
            follower.matched + self.pace.batch() as u64 > self.commit && follower.matched > 0
        })
    }

    /// The next learner that could vote by now.
    pub(crate) fn ripe(&self) -> Option<Seat> {
        let (at, seats) = self.log.seats();
        seats.learners.into_iter().find(|seat| at <= self.commit && self.caught_up(seat.number))
    }

    fn beat(&mut self, now: Nanos) {
        let beat = self.pace.heartbeat();
        let Role::Leader(lead) = &mut self.role else { return };
        lead.beat_at = now + beat;
        lead.round += 1;
        lead.left.push_back((lead.round, now));
        let all: Vec<Node> = lead.followers.keys().copied().collect();
        for to in all {
            self.send_to(now, to, true);
        }
        // With nobody else to answer, one's own word is a quorum.
        self.advance(now);
    }

    fn spread(&mut self, now: Nanos) {
        let Role::Leader(lead) = &self.role else { return };
        let all: Vec<Node> = lead.followers.keys().copied().collect();
        for to in all {
            self.send_to(now, to, false);
        }
    }

    /// What a follower lacks, if nothing is under way to it; else, where `beat`, a sign of life.
    fn send_to(&mut self, now: Nanos, to: Node, beat: bool) {
        let resend = self.pace.resend();
        let (last, base) = (self.log.last().0, self.log.base().index);
        let Role::Leader(lead) = &mut self.role else { return };
        let round = lead.round;
        let Some(follower) = lead.followers.get_mut(&to) else { return };
        let due = follower.sent.is_none_or(|sent| now >= sent + resend);
        let lacks = follower.next <= last;
        if !(beat || lacks && due) {
            return;
        }
        if follower.next <= base && due {
            follower.sent = Some(now);
            let snapshot = Snapshot { term: self.term, round, ..self.log.base().clone() };
            return self.out.push((to, Body::Snapshot(snapshot)));
        }
        let prev_index = follower.next.max(base + 1) - 1;
        let entries: Vec<Entry> = if lacks && due {
            self.log.from(follower.next).iter().take(self.pace.batch()).cloned().collect()
        } else {
            Vec::new()
        };
        if !entries.is_empty() {
            follower.sent = Some(now);
        }
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let append = Append { term: self.term, prev_index, prev_term, entries, commit: self.commit, round };
        self.out.push((to, Body::Append(append)));
    }

    /// Commits what a quorum keeps, and notes how long a quorum has held to this leader.
    fn advance(&mut self, now: Nanos) {
        let (voters, stored, term) = (self.voters(), self.log.stored(), self.term);
        let any_term = self.planted == Some(Planted::CommitOldTerm);
        let Role::Leader(lead) = &mut self.role else { return };
        let mut kept: Vec<Index> = Vec::new();
        let mut rounds: Vec<u64> = Vec::new();
        for voter in &voters {
            let follower = lead.followers.get(voter);
            kept.push(if *voter == self.me {
                stored
            } else {
                follower.map_or(0, |follower| follower.matched)
            });
            rounds.push(if *voter == self.me {
                lead.round
            } else {
                follower.map_or(0, |follower| follower.round)
            });
        }
        kept.sort_unstable();
        rounds.sort_unstable();
        let quorum = (voters.len().max(1) - 1) / 2;
        let (index, round) =
            (kept.get(quorum).copied().unwrap_or(0), rounds.get(quorum).copied().unwrap_or(0));
        while lead.left.front().is_some_and(|(of, _)| *of <= round) {
            if let Some((_, at)) = lead.left.pop_front() {
                lead.held = lead.held.max(Some(at));
            }
        }
        if index > self.commit && (any_term || self.log.term(index) == Some(term)) {
            self.commit = index;
            // Out by its own entry: the rest elect another.
            let (at, seats) = self.log.seats();
            let followers: Vec<Node> = match &self.role {
                Role::Leader(lead) => lead.followers.keys().copied().collect(),
                _ => Vec::new(),
            };
            for to in followers {
                self.send_to(now, to, true);
            }
            if at <= index && !seat(&seats, self.me) {
                self.follow(now, term, None);
            }
        }
    }

    /// A message of the log.
    pub(crate) fn heard(&mut self, now: Nanos, from: Node, body: Body) {
        if self.broken {
            return;
        }
        match body {
            Body::Ask(ask) => self.asked(now, from, &ask),
            Body::Voted(voted) => self.voted(now, from, &voted),
            Body::Append(append) => self.append_from(now, from, append),
            Body::Appended(appended) => self.appended(now, from, &appended),
            Body::Snapshot(snapshot) => self.snapshot_from(now, from, snapshot),
            _ => {}
        }
    }

    fn asked(&mut self, now: Nanos, from: Node, ask: &Ask) {
        // While a leader may still hold its lease by this one's word, that word is not given to another.
        let bound = match &self.role {
            Role::Leader(_) => ask.pre || self.holds(now),
            _ => now < self.heard + self.pace.election(),
        };
        if bound {
            return;
        }
        let fits = (ask.last_term, ask.last_index) >= (self.log.last().1, self.log.last().0);
        if ask.pre {
            let granted = fits && ask.term > self.term;
            let term = if granted { ask.term } else { self.term };
            return self.out.push((from, Body::Voted(Voted { term, pre: true, granted })));
        }
        if ask.term > self.term {
            self.follow(now, ask.term, None);
        }
        let granted =
            ask.term == self.term && fits && self.voted.is_none_or(|voted| voted == from) && !self.leading();
        if granted && self.voted.is_none() {
            self.voted = Some(from);
            self.keep_vote();
            self.election_at = now + self.draw();
        }
        self.promise(from, Body::Voted(Voted { term: self.term, pre: false, granted }));
    }

    fn leading(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    fn voted(&mut self, now: Nanos, from: Node, voted: &Voted) {
        if voted.term > self.term + 1 || (voted.term > self.term && !voted.granted) {
            return self.follow(now, voted.term, None);
        }
        let Role::Candidate { pre, granted } = &mut self.role else { return };
        let asked_for = if *pre { self.term + 1 } else { self.term };
        if voted.granted && voted.pre == *pre && voted.term == asked_for {
            granted.insert(from);
            self.count(now);
        }
    }

    fn refuse(&mut self, to: Node, index: Index, round: u64) {
        self.out.push((to, Body::Appended(Appended { term: self.term, fits: false, index, round })));
    }

    fn hear_leader(&mut self, now: Nanos, from: Node, term: u64) -> bool {
        if term < self.term {
            return false;
        }
        self.follow(now, term, Some(from));
        self.heard = now;
        true
    }

    fn append_from(&mut self, now: Nanos, from: Node, append: Append) {
        if !self.hear_leader(now, from, append.term) {
            return self.refuse(from, 0, append.round);
        }
        let base = self.log.base().index;
        if append.prev_index > self.log.last().0 {
            return self.refuse(from, self.log.last().0, append.round);
        }
        if append.prev_index >= base && self.log.term(append.prev_index) != Some(append.prev_term) {
            let begin = self.log.term_begin(append.prev_index);
            return self.refuse(from, (begin - 1).max(base), append.round);
        }
        let reach = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            let known = entry.index <= base || self.log.term(entry.index) == Some(entry.term);
            if known {
                continue;
            }
            if entry.index <= self.commit {
                // It would undo what is committed: the sender is no leader of this log.
                return self.failed();
            }
            self.log.put(entry.clone());
            self.keep(Kept::Entry(entry));
        }
        self.agreed = self.agreed.max(reach);
        self.commit = self.commit.max(append.commit.min(self.agreed));
        let index = self.agreed.min(self.log.stored());
        let answer = Appended { term: self.term, fits: true, index, round: append.round };
        self.out.push((from, Body::Appended(answer)));
    }

    fn snapshot_from(&mut self, now: Nanos, from: Node, snapshot: Snapshot) {
        if !self.hear_leader(now, from, snapshot.term) {
            return self.refuse(from, 0, snapshot.round);
        }
        let round = snapshot.round;
        self.agreed = self.agreed.max(snapshot.index);
        if snapshot.index > self.commit {
            self.log.restore(snapshot.clone());
            self.commit = snapshot.index;
            self.applied = snapshot.index;
            self.keep_all();
            self.restored = Some(snapshot);
        }
        let index = self.agreed.min(self.log.stored());
        self.out.push((from, Body::Appended(Appended { term: self.term, fits: true, index, round })));
    }

    /// The file anew.
    fn keep_all(&mut self) {
        self.whole = true;
        self.unkept = vec![
            record(Kept::Boot(self.boot)),
            record(Kept::Vote(Vote { term: self.term, voted: self.voted })),
            record(Kept::Base(self.log.base().clone())),
        ];
        self.unkept.extend(self.log.entries().iter().map(|entry| record(Kept::Entry(entry.clone()))));
    }

    /// All that was carried out up to `index` is in `state`.
    pub(crate) fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index <= self.applied && index > self.base() && index <= self.log.stored() {
            self.log.compact(index, state);
            self.keep_all();
        }
    }

    fn appended(&mut self, now: Nanos, from: Node, appended: &Appended) {
        if appended.term > self.term {
            return self.follow(now, appended.term, None);
        }
        let last = self.log.last().0;
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(follower) = lead.followers.get_mut(&from).filter(|_| appended.term == self.term) else {
            return;
        };
        follower.round = follower.round.max(appended.round);
        if appended.fits {
            let index = appended.index.min(last);
            if index > follower.matched {
                follower.matched = index;
                follower.sent = None;
            }
            follower.next = follower.next.max(follower.matched + 1);
            self.advance(now);
        } else {
            // A refusal told twice, or of an older message, starts nothing a second time.
            let next = (appended.index + 1).clamp(follower.matched + 1, last + 1);
            if next >= follower.next {
                return;
            }
            (follower.next, follower.sent) = (next, None);
        }
        self.send_to(now, from, false);
    }
}
