//! Servers: cores and a queue, cold starts, connections, drains, and every effect on record.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use anyhow::Result;
use oorandom::Rand64;
use prost::Message;
use shalereel::interface::Nanos;
use shalereel_reactor::{now, TimerId, Token};
use shalereel_rpc::{Code, ConnId, Hub, Input, Status, StreamId};

use crate::plan::{Command, Ready, Repeats, ServerPlan, ServersPlan, WhichEffect};
use crate::trace::{Seen, Trace};
use crate::work::{Answer, Invocation};
use crate::{read_plan, say_ready, BOUNDS};

enum Key {
    Done { server: u32, job: u64 },
    Refuse(u32),
    Shaken(ConnId),
}

struct Job {
    conn: ConnId,
    stream: StreamId,
    inv: Invocation,
}

struct Server {
    plan: ServerPlan,
    listener: Option<Token>,
    conns: BTreeSet<ConnId>,
    running: BTreeMap<u64, (Job, TimerId)>,
    queue: VecDeque<Job>,
    /// 0: long ago.
    started: Nanos,
    incarnation: u64,
    silent: bool,
    hung: bool,
    refuses: bool,
    misreports: bool,
    slow: f64,
    fails: f64,
    squeeze: f64,
    handshake: Nanos,
    /// Work that came of late, while cold.
    sent: VecDeque<(Nanos, Nanos)>,
}

struct Servers {
    hub: Hub<u32, Key>,
    plan: ServersPlan,
    servers: BTreeMap<u32, Server>,
    owners: BTreeMap<ConnId, u32>,
    /// Fingerprints by group of servers: until when a repeat is dropped.
    marks: BTreeMap<(String, u64), Nanos>,
    calls: BTreeSet<(ConnId, StreamId)>,
    chance: Rand64,
    jobs: u64,
    trace: Trace,
}

pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(BOUNDS)?;
    hub.stop_on_signals()?;
    let (mut plan, rest): (ServersPlan, _) = read_plan(&mut hub)?;
    let trace = Trace::new(&plan.trace)?;
    let mut servers = BTreeMap::new();
    for told in &mut plan.servers {
        let (token, address) = hub.listen(told.address, told.server)?;
        told.address = address;
        servers.insert(told.server, Server::new(told.clone(), Some(token), 0, 0));
    }
    say_ready(&Ready { addresses: plan.servers.iter().map(|server| server.address).collect() })?;
    let chance = Rand64::new(plan.seed.into());
    let (owners, marks, calls) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
    let mut all = Servers { hub, plan, servers, owners, marks, calls, chance, jobs: 0, trace };
    let mut inputs = rest;
    loop {
        for input in inputs {
            if !all.take(input)? {
                return all.trace.finish();
            }
        }
        inputs = all.hub.wait(None)?;
    }
}

impl Server {
    fn new(plan: ServerPlan, listener: Option<Token>, started: Nanos, incarnation: u64) -> Self {
        Server {
            plan,
            listener,
            conns: BTreeSet::new(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            started,
            incarnation,
            silent: false,
            hung: false,
            refuses: false,
            misreports: false,
            slow: 1.0,
            fails: 0.0,
            squeeze: 1.0,
            handshake: 0,
            sent: VecDeque::new(),
        }
    }
}

impl Servers {
    fn take(&mut self, input: Input<u32, Key>) -> Result<bool> {
        match input {
            Input::Opened { conn, listener: at } => self.opened(conn, at),
            Input::Call { conn, stream, path, .. } if path.ends_with("/Check") => {
                // `grpc.health.v1`: serving.
                self.hub.send(conn, stream, &[8, 1]);
                self.hub.finish(conn, stream, Status::OK);
            }
            Input::Call { conn, stream, .. } => drop(self.calls.insert((conn, stream))),
            Input::Message { conn, stream, message } if self.calls.contains(&(conn, stream)) => {
                match Invocation::decode(message) {
                    Ok(inv) => self.arrived(conn, stream, inv),
                    Err(error) => {
                        let status = Status::new(Code::InvalidArgument, error.to_string());
                        self.hub.finish(conn, stream, status);
                    }
                }
            }
            Input::Ended { conn, stream, .. } => self.given_up(conn, stream),
            Input::Closed { conn, .. } => self.closed(conn),
            Input::Timer(Key::Done { server, job }) => self.done(server, job),
            Input::Timer(Key::Refuse(server)) => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.refuses = true;
                }
            }
            Input::Timer(Key::Shaken(conn)) => self.hub.set_paused(conn, false),
            Input::Line(line) => self.command(serde_json::from_str(&line)?)?,
            Input::EndOfLines | Input::Stop => return Ok(false),
            Input::Message { .. }
            | Input::HalfClosed { .. }
            | Input::Bytes { .. }
            | Input::Woken
            | Input::Reload => {}
        }
        Ok(true)
    }

    fn opened(&mut self, conn: ConnId, at: u32) {
        let Some(server) = self.servers.get_mut(&at) else { return };
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        if server.conns.len() as f64 >= f64::from(kind.connections) * server.squeeze {
            return self.hub.reset(conn);
        }
        server.conns.insert(conn);
        self.owners.insert(conn, at);
        if server.silent {
            self.hub.set_paused(conn, true);
        } else if server.handshake > 0 {
            self.hub.set_paused(conn, true);
            self.hub.set_timer(now() + server.handshake, Key::Shaken(conn));
        }
    }

    fn closed(&mut self, conn: ConnId) {
        self.calls.retain(|(of, _)| *of != conn);
        let Some(server) = self.owners.remove(&conn).and_then(|id| self.servers.get_mut(&id)) else { return };
        server.conns.remove(&conn);
        server.queue.retain(|job| job.conn != conn);
        let id = server.plan.server;
        let gone: Vec<u64> =
            server.running.iter().filter(|(_, (job, _))| job.conn == conn).map(|(&job, _)| job).collect();
        for job in gone {
            if let Some((_, timer)) = server.running.remove(&job) {
                self.hub.cancel_timer(timer);
            }
        }
        self.work(id);
    }

    /// Work stops when its invocation is cancelled.
    fn given_up(&mut self, conn: ConnId, stream: StreamId) {
        if !self.calls.remove(&(conn, stream)) {
            return;
        }
        let Some(&id) = self.owners.get(&conn) else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.queue.retain(|job| (job.conn, job.stream) != (conn, stream));
        let of = |job: &Job| (job.conn, job.stream) == (conn, stream);
        let gone = server.running.iter().find(|(_, (job, _))| of(job)).map(|(&job, _)| job);
        if let Some((_, timer)) = gone.and_then(|job| server.running.remove(&job)) {
            self.hub.cancel_timer(timer);
        }
        self.work(id);
    }

    /// Part of its capacity that a server has at a time.
    fn warm(&self, server: &Server, time: Nanos) -> f64 {
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        let age = time.saturating_sub(server.started);
        if server.started == 0 || age >= kind.cold_for {
            return 1.0;
        }
        kind.cold_from + (1.0 - kind.cold_from) * age as f64 / kind.cold_for as f64
    }

    fn arrived(&mut self, conn: ConnId, stream: StreamId, inv: Invocation) {
        let Some(server) = self.owners.get(&conn).and_then(|id| self.servers.get(id)) else { return };
        let (time, id) = (now(), server.plan.server);
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        let warm = self.warm(server, time);
        let (cold, capacity) = (warm < 1.0, f64::from(kind.cores) * kind.speed * warm);
        self.trace.put(&Seen::Arrived {
            at: time,
            server: id,
            incarnation: server.incarnation,
            inv: inv.inv,
            forwarder: inv.forwarder,
            further: inv.further,
            work: inv.work,
            capacity,
            cold,
        });
        let queue_most = kind.queue as usize;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.sent.push_back((time, inv.work));
        while server.sent.front().is_some_and(|sent| sent.0 + self.plan.tip_after < time) {
            server.sent.pop_front();
        }
        let sent: f64 = server.sent.iter().map(|sent| sent.1 as f64).sum();
        if cold && sent > self.plan.tip_multiple * capacity * self.plan.tip_after as f64 {
            self.trace.put(&Seen::Fell { at: time, server: id });
            return self.down(id);
        }
        let refuse = |hub: &mut Hub<u32, Key>, code, text| hub.finish(conn, stream, Status::new(code, text));
        if server.refuses {
            return refuse(&mut self.hub, Code::ResourceExhausted, "draining");
        }
        if self.chance.rand_float() < server.fails {
            return refuse(&mut self.hub, Code::Internal, "failed at once");
        }
        if server.queue.len() >= queue_most {
            return refuse(&mut self.hub, Code::ResourceExhausted, "queue full");
        }
        server.queue.push_back(Job { conn, stream, inv });
        self.work(id);
    }

    /// Gives waiting work to free cores.
    fn work(&mut self, id: u32) {
        loop {
            let time = now();
            let Some(server) = self.servers.get(&id) else { return };
            let kind = &self.plan.kinds[usize::from(server.plan.kind)];
            if server.hung || server.running.len() >= kind.cores as usize {
                return;
            }
            let pace = kind.speed * self.warm(server, time) / server.slow;
            let Some(job) = self.servers.get_mut(&id).and_then(|server| server.queue.pop_front()) else {
                return;
            };
            self.jobs += 1;
            // What it writes it writes first: an invocation given up later may have taken effect.
            self.take_effect(id, &job.inv);
            let span = (job.inv.work as f64 / pace) as Nanos;
            let timer = self.hub.set_timer(time + span, Key::Done { server: id, job: self.jobs });
            if let Some(server) = self.servers.get_mut(&id) {
                server.running.insert(self.jobs, (job, timer));
            }
        }
    }

    fn done(&mut self, id: u32, job: u64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.hung || server.silent {
            return;
        }
        let Some((job, _)) = server.running.remove(&job) else { return };
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        let busy = (server.running.len() + 1) as f64 / f64::from(kind.cores);
        let cpu = if server.misreports { 0.01 } else { busy.min(1.0) };
        let waiting = if server.misreports { 0 } else { server.queue.len() as u32 };
        self.hub.send(job.conn, job.stream, &Answer { cpu, waiting }.encode_to_vec());
        self.hub.finish(job.conn, job.stream, Status::OK);
        self.work(id);
    }

    /// A repeat of a marked invocation is dropped by the servers that share its mark.
    fn take_effect(&mut self, id: u32, inv: &Invocation) {
        let Some(operation) = self.plan.operations.get(inv.operation as usize) else { return };
        let Some(server) = self.servers.get(&id) else { return };
        let time = now();
        if operation.effect == WhichEffect::Fingerprinted && inv.fingerprint != 0 {
            let group = match operation.repeats {
                Repeats::Everywhere => String::new(),
                Repeats::Locality => server.plan.zone.clone(),
                Repeats::Cell => format!("{}/{}", server.plan.zone, server.plan.cell),
            };
            let until = self.marks.insert((group, inv.fingerprint), time + operation.repeat_window);
            if until.is_some_and(|until| until > time) {
                return;
            }
            if self.marks.len() > 100_000 {
                self.marks.retain(|_, until| *until > time);
            }
        }
        for _ in 0..1 + u32::from(self.plan.repeat_effects) {
            self.trace.put(&Seen::Effect {
                at: time,
                server: id,
                operation: inv.operation as u16,
                inv: inv.inv,
                attempt: inv.attempt,
                further: inv.further,
                fingerprint: inv.fingerprint,
                range: inv.range,
                epoch: inv.epoch,
            });
        }
    }

    /// Resets all it has and takes no more.
    fn down(&mut self, id: u32) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(listener) = server.listener.take() {
            self.hub.stop_listening(listener);
        }
        server.queue.clear();
        for (_, timer) in std::mem::take(&mut server.running).into_values() {
            self.hub.cancel_timer(timer);
        }
        for conn in std::mem::take(&mut server.conns) {
            self.hub.reset(conn);
            self.owners.remove(&conn);
            self.calls.retain(|(of, _)| *of != conn);
        }
    }

    fn each(&mut self, servers: &[u32], mut change: impl FnMut(&mut Server)) {
        for id in servers {
            if let Some(server) = self.servers.get_mut(id) {
                change(server);
            }
            self.work(*id);
        }
    }

    /// What was running when a server fell still is done when it comes to itself.
    fn come_to(&mut self, servers: &[u32], still: bool) {
        for id in servers.iter().filter(|_| !still) {
            let running = self.servers.get(id).map(|server| server.running.keys().copied().collect());
            let running: Vec<u64> = running.unwrap_or_default();
            running.into_iter().for_each(|job| self.done(*id, job));
        }
    }

    fn command(&mut self, command: Command) -> Result<()> {
        match command {
            Command::Crash { servers } => servers.iter().for_each(|&id| self.down(id)),
            Command::Start { servers, incarnation } => {
                for id in servers {
                    self.down(id);
                    let Some(plan) = self.servers.get(&id).map(|server| server.plan.clone()) else {
                        continue;
                    };
                    let (token, _) = self.hub.listen(plan.address, id)?;
                    self.servers.insert(id, Server::new(plan, Some(token), now(), incarnation));
                }
            }
            Command::Silence { servers, on } => {
                for id in &servers {
                    let Some(server) = self.servers.get_mut(id) else { continue };
                    server.silent = on;
                    server.conns.iter().for_each(|&conn| self.hub.set_paused(conn, on));
                }
                self.come_to(&servers, on);
            }
            Command::Hang { servers, on } => {
                self.each(&servers, |server| server.hung = on);
                self.come_to(&servers, on);
            }
            Command::Slow { servers, factor } => self.each(&servers, |server| server.slow = factor),
            Command::Fail { servers, part } => self.each(&servers, |server| server.fails = part),
            Command::Misreport { servers, on } => self.each(&servers, |server| server.misreports = on),
            Command::Drain { servers, grace } => {
                for &id in &servers {
                    self.hub.set_timer(now() + grace, Key::Refuse(id));
                }
            }
            Command::Squeeze { servers, part } => self.each(&servers, |server| server.squeeze = part),
            Command::Handshake { servers, delay } => self.each(&servers, |server| server.handshake = delay),
            other => eprintln!("servers cannot {other:?}"),
        }
        Ok(())
    }
}
