//! Stand-ins for servers. A server has cores, a queue, a limit of connections and a cold start, and it can drain.
//! The trace has every effect that takes place.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use anyhow::Result;
use oorandom::Rand64;
use prost::Message;
use shalereel::interface::Nanos;
use shalereel_reactor::{now, TimerId, Token};
use shalereel_rpc::{Code, ConnId, Hub, Input, Status, StreamId};

use crate::plan::{Command, DeduplicationScope, EffectKind, Ready, ServerPlan, ServersPlan};
use crate::trace::{TraceEvent, TraceWriter};
use crate::work::{Invocation, ServerResponse};
use crate::{read_plan, write_ready, CONNECTION_LIMITS};

/// CPU utilization that a server reports while it misreports its load.
const MISREPORTED_CPU: f64 = 0.01;
/// Number of remembered fingerprints above which expired ones are removed.
const FINGERPRINTS_BEFORE_CLEANUP: usize = 100_000;
/// `grpc.health.v1.HealthCheckResponse` with the status `SERVING`.
const HEALTH_SERVING: [u8; 2] = [8, 1];

/// What a timer is for.
enum Timer {
    /// A job is done.
    JobDone { server: u32, job: u64 },
    /// The grace period of a draining server is over.
    DrainGraceOver(u32),
    /// The delay before a new connection is read is over.
    HandshakeDone(ConnId),
}

/// An invocation that runs or waits at a server.
struct Job {
    conn: ConnId,
    stream: StreamId,
    invocation: Invocation,
}

/// One server.
struct Server {
    plan: ServerPlan,
    /// `None` while the server is down.
    listener: Option<Token>,
    connections: BTreeSet<ConnId>,
    /// Jobs on cores, by job id.
    running: BTreeMap<u64, (Job, TimerId)>,
    queue: VecDeque<Job>,
    /// Start time; 0 if the server started long ago and is warm.
    started_at: Nanos,
    incarnation: u64,
    /// Whether it reads from no connection and answers nothing.
    silent: bool,
    /// Whether it accepts invocations, but runs and answers none.
    hung: bool,
    /// Whether it rejects new invocations because it drains.
    draining: bool,
    /// Whether it reports next to no load.
    misreports: bool,
    /// Factor by which work takes longer.
    slowdown: f64,
    /// Fraction of the invocations that fail at once.
    failure_fraction: f64,
    /// Fraction of the maximum number of connections that is accepted.
    connection_fraction: f64,
    /// Delay before a new connection is read, in nanoseconds.
    handshake_delay: Nanos,
    /// Arrival time and work of the invocations within the overload window.
    recent_work: VecDeque<(Nanos, Nanos)>,
}

/// All servers of the process.
struct Servers {
    hub: Hub<u32, Timer>,
    plan: ServersPlan,
    servers: BTreeMap<u32, Server>,
    /// The server of each connection.
    connection_servers: BTreeMap<ConnId, u32>,
    /// Time until which a repeat is dropped, by deduplication group and fingerprint.
    fingerprints: BTreeMap<(String, u64), Nanos>,
    /// Open calls of invocations.
    calls: BTreeSet<(ConnId, StreamId)>,
    random: Rand64,
    /// Id of the latest job.
    last_job: u64,
    trace: TraceWriter,
}

/// Runs the role `servers`.
pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(CONNECTION_LIMITS)?;
    hub.stop_on_signals()?;
    let (mut plan, rest): (ServersPlan, _) = read_plan(&mut hub)?;
    let trace = TraceWriter::new(&plan.trace_path)?;
    let mut servers = BTreeMap::new();
    for server_plan in &mut plan.servers {
        let (token, address) = hub.listen(server_plan.address, server_plan.server)?;
        server_plan.address = address;
        servers.insert(server_plan.server, Server::new(server_plan.clone(), Some(token), 0, 0));
    }
    write_ready(&Ready { addresses: plan.servers.iter().map(|server| server.address).collect() })?;
    let random = Rand64::new(plan.seed.into());
    let (connection_servers, fingerprints, calls) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
    let mut servers =
        Servers { hub, plan, servers, connection_servers, fingerprints, calls, random, last_job: 0, trace };
    let mut inputs = rest;
    loop {
        for input in inputs {
            if !servers.handle_input(input)? {
                return servers.trace.finish();
            }
        }
        inputs = servers.hub.wait(None)?;
    }
}

impl Server {
    /// A server that is up and without faults.
    fn new(plan: ServerPlan, listener: Option<Token>, started_at: Nanos, incarnation: u64) -> Self {
        Server {
            plan,
            listener,
            connections: BTreeSet::new(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            started_at,
            incarnation,
            silent: false,
            hung: false,
            draining: false,
            misreports: false,
            slowdown: 1.0,
            failure_fraction: 0.0,
            connection_fraction: 1.0,
            handshake_delay: 0,
            recent_work: VecDeque::new(),
        }
    }
}

impl Servers {
    /// Handles one input; returns whether the process goes on.
    fn handle_input(&mut self, input: Input<u32, Timer>) -> Result<bool> {
        match input {
            Input::Opened { conn, listener } => self.handle_open(conn, listener),
            Input::Call { conn, stream, path, .. } if path.ends_with("/Check") => {
                self.hub.send(conn, stream, &HEALTH_SERVING);
                self.hub.finish(conn, stream, Status::OK);
            }
            Input::Call { conn, stream, .. } => drop(self.calls.insert((conn, stream))),
            Input::Message { conn, stream, message } if self.calls.contains(&(conn, stream)) => {
                match Invocation::decode(message) {
                    Ok(invocation) => self.handle_invocation(conn, stream, invocation),
                    Err(error) => {
                        let status = Status::new(Code::InvalidArgument, error.to_string());
                        self.hub.finish(conn, stream, status);
                    }
                }
            }
            Input::Ended { conn, stream, .. } => self.cancel(conn, stream),
            Input::Closed { conn, .. } => self.handle_close(conn),
            Input::Timer(Timer::JobDone { server, job }) => self.finish_job(server, job),
            Input::Timer(Timer::DrainGraceOver(server)) => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.draining = true;
                }
            }
            Input::Timer(Timer::HandshakeDone(conn)) => self.hub.set_paused(conn, false),
            Input::Line(line) => self.handle_command(serde_json::from_str(&line)?)?,
            Input::EndOfLines | Input::Stop => return Ok(false),
            Input::Message { .. }
            | Input::HalfClosed { .. }
            | Input::Bytes { .. }
            | Input::Woken
            | Input::Reload => {}
        }
        Ok(true)
    }

    /// Accepts a connection unless the server has too many.
    fn handle_open(&mut self, conn: ConnId, id: u32) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        if server.connections.len() as f64 >= f64::from(kind.max_connections) * server.connection_fraction {
            return self.hub.reset(conn);
        }
        server.connections.insert(conn);
        self.connection_servers.insert(conn, id);
        if server.silent {
            self.hub.set_paused(conn, true);
        } else if server.handshake_delay > 0 {
            self.hub.set_paused(conn, true);
            self.hub.set_timer(now() + server.handshake_delay, Timer::HandshakeDone(conn));
        }
    }

    /// Forgets a connection and stops the jobs that arrived on it.
    fn handle_close(&mut self, conn: ConnId) {
        self.calls.retain(|(owner, _)| *owner != conn);
        let Some(server) = self.connection_servers.remove(&conn).and_then(|id| self.servers.get_mut(&id))
        else {
            return;
        };
        server.connections.remove(&conn);
        server.queue.retain(|job| job.conn != conn);
        let id = server.plan.server;
        let cancelled: Vec<u64> =
            server.running.iter().filter(|(_, (job, _))| job.conn == conn).map(|(&job, _)| job).collect();
        for job in cancelled {
            if let Some((_, timer)) = server.running.remove(&job) {
                self.hub.cancel_timer(timer);
            }
        }
        self.run_queued(id);
    }

    /// Stops the job of a call that has ended, because its forwarder has cancelled it.
    fn cancel(&mut self, conn: ConnId, stream: StreamId) {
        if !self.calls.remove(&(conn, stream)) {
            return;
        }
        let Some(&id) = self.connection_servers.get(&conn) else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.queue.retain(|job| (job.conn, job.stream) != (conn, stream));
        let is_cancelled = |job: &Job| (job.conn, job.stream) == (conn, stream);
        let running = server.running.iter().find(|(_, (job, _))| is_cancelled(job)).map(|(&job, _)| job);
        if let Some((_, timer)) = running.and_then(|job| server.running.remove(&job)) {
            self.hub.cancel_timer(timer);
        }
        self.run_queued(id);
    }

    /// Fraction of its full capacity that a server has at a time; less than 1 while it is cold.
    fn capacity_fraction(&self, server: &Server, time: Nanos) -> f64 {
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        let age = time.saturating_sub(server.started_at);
        if server.started_at == 0 || age >= kind.warm_up_duration {
            return 1.0;
        }
        kind.cold_capacity_fraction
            + (1.0 - kind.cold_capacity_fraction) * age as f64 / kind.warm_up_duration as f64
    }

    /// Queues an invocation, or rejects it. A cold server crashes if too much work arrives.
    fn handle_invocation(&mut self, conn: ConnId, stream: StreamId, invocation: Invocation) {
        let Some(server) = self.connection_servers.get(&conn).and_then(|id| self.servers.get(id)) else {
            return;
        };
        let (time, id) = (now(), server.plan.server);
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        let fraction = self.capacity_fraction(server, time);
        let (cold, capacity) = (fraction < 1.0, f64::from(kind.cores) * kind.speed * fraction);
        self.trace.write(&TraceEvent::InvocationArrived {
            at: time,
            server: id,
            incarnation: server.incarnation,
            invocation: invocation.number,
            forwarder: invocation.forwarder,
            forwarder_attempt: invocation.forwarder_attempt,
            work: invocation.work,
            capacity,
            cold,
        });
        let queue_capacity = kind.queue_capacity as usize;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.recent_work.push_back((time, invocation.work));
        while server
            .recent_work
            .front()
            .is_some_and(|(arrived_at, _)| arrived_at + self.plan.overload_window < time)
        {
            server.recent_work.pop_front();
        }
        let recent_work: f64 = server.recent_work.iter().map(|(_, work)| *work as f64).sum();
        if cold && recent_work > self.plan.overload_multiple * capacity * self.plan.overload_window as f64 {
            self.trace.write(&TraceEvent::ServerOverloaded { at: time, server: id });
            return self.crash(id);
        }
        let reject =
            |hub: &mut Hub<u32, Timer>, code, text| hub.finish(conn, stream, Status::new(code, text));
        if server.draining {
            return reject(&mut self.hub, Code::ResourceExhausted, "draining");
        }
        if self.random.rand_float() < server.failure_fraction {
            return reject(&mut self.hub, Code::Internal, "failed at once");
        }
        if server.queue.len() >= queue_capacity {
            return reject(&mut self.hub, Code::ResourceExhausted, "queue full");
        }
        server.queue.push_back(Job { conn, stream, invocation });
        self.run_queued(id);
    }

    /// Starts queued jobs on free cores.
    fn run_queued(&mut self, id: u32) {
        loop {
            let time = now();
            let Some(server) = self.servers.get(&id) else { return };
            let kind = &self.plan.kinds[usize::from(server.plan.kind)];
            if server.hung || server.running.len() >= kind.cores as usize {
                return;
            }
            let speed = kind.speed * self.capacity_fraction(server, time) / server.slowdown;
            let Some(job) = self.servers.get_mut(&id).and_then(|server| server.queue.pop_front()) else {
                return;
            };
            self.last_job += 1;
            // The effect comes before the work, so that an invocation that is cancelled later may have taken effect.
            self.apply_effect(id, &job.invocation);
            let duration = (job.invocation.work as f64 / speed) as Nanos;
            let timer =
                self.hub.set_timer(time + duration, Timer::JobDone { server: id, job: self.last_job });
            if let Some(server) = self.servers.get_mut(&id) {
                server.running.insert(self.last_job, (job, timer));
            }
        }
    }

    /// Answers a job that is done, unless the server is silent or hangs.
    fn finish_job(&mut self, id: u32, job: u64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.hung || server.silent {
            return;
        }
        let Some((job, _)) = server.running.remove(&job) else { return };
        let kind = &self.plan.kinds[usize::from(server.plan.kind)];
        let busy = (server.running.len() + 1) as f64 / f64::from(kind.cores);
        let cpu = if server.misreports { MISREPORTED_CPU } else { busy.min(1.0) };
        let queued = if server.misreports { 0 } else { server.queue.len() as u32 };
        self.hub.send(job.conn, job.stream, &ServerResponse { cpu, queued }.encode_to_vec());
        self.hub.finish(job.conn, job.stream, Status::OK);
        self.run_queued(id);
    }

    /// Writes the effect of an invocation to the trace. Servers of one deduplication group drop repeats of a
    /// fingerprinted invocation within the window.
    fn apply_effect(&mut self, id: u32, invocation: &Invocation) {
        let Some(operation) = self.plan.operations.get(invocation.operation as usize) else { return };
        let Some(server) = self.servers.get(&id) else { return };
        let time = now();
        if operation.effect == EffectKind::Fingerprinted && invocation.fingerprint != 0 {
            let group = match operation.deduplication_scope {
                DeduplicationScope::Everywhere => String::new(),
                DeduplicationScope::Locality => server.plan.zone.clone(),
                DeduplicationScope::Cell => format!("{}/{}", server.plan.zone, server.plan.cell),
            };
            let until = self
                .fingerprints
                .insert((group, invocation.fingerprint), time + operation.deduplication_window);
            if until.is_some_and(|until| until > time) {
                return;
            }
            if self.fingerprints.len() > FINGERPRINTS_BEFORE_CLEANUP {
                self.fingerprints.retain(|_, until| *until > time);
            }
        }
        for _ in 0..1 + u32::from(self.plan.duplicate_effects) {
            self.trace.write(&TraceEvent::EffectApplied {
                at: time,
                server: id,
                operation: invocation.operation as u16,
                invocation: invocation.number,
                caller_attempt: invocation.caller_attempt,
                forwarder_attempt: invocation.forwarder_attempt,
                fingerprint: invocation.fingerprint,
                range: invocation.range,
                epoch: invocation.epoch,
            });
        }
    }

    /// Crashes a server: it resets its connections, drops its jobs and stops listening.
    fn crash(&mut self, id: u32) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(listener) = server.listener.take() {
            self.hub.stop_listening(listener);
        }
        server.queue.clear();
        for (_, timer) in std::mem::take(&mut server.running).into_values() {
            self.hub.cancel_timer(timer);
        }
        for conn in std::mem::take(&mut server.connections) {
            self.hub.reset(conn);
            self.connection_servers.remove(&conn);
            self.calls.retain(|(owner, _)| *owner != conn);
        }
    }

    /// Changes servers, then starts the jobs that they can run now.
    fn change_servers(&mut self, servers: &[u32], mut change: impl FnMut(&mut Server)) {
        for id in servers {
            if let Some(server) = self.servers.get_mut(id) {
                change(server);
            }
            self.run_queued(*id);
        }
    }

    /// Finishes all running jobs of servers whose silence or hang ends (`on` is false). Jobs that became due meanwhile have
    /// no timer any more.
    fn finish_running_jobs(&mut self, servers: &[u32], on: bool) {
        for id in servers.iter().filter(|_| !on) {
            let running = self.servers.get(id).map(|server| server.running.keys().copied().collect());
            let running: Vec<u64> = running.unwrap_or_default();
            running.into_iter().for_each(|job| self.finish_job(*id, job));
        }
    }

    /// Carries out a command.
    fn handle_command(&mut self, command: Command) -> Result<()> {
        match command {
            Command::CrashServers { servers } => servers.iter().for_each(|&id| self.crash(id)),
            Command::StartServers { servers, incarnation } => {
                for id in servers {
                    self.crash(id);
                    let Some(plan) = self.servers.get(&id).map(|server| server.plan.clone()) else {
                        continue;
                    };
                    let (token, _) = self.hub.listen(plan.address, id)?;
                    self.servers.insert(id, Server::new(plan, Some(token), now(), incarnation));
                }
            }
            Command::SilenceServers { servers, on } => {
                for id in &servers {
                    let Some(server) = self.servers.get_mut(id) else { continue };
                    server.silent = on;
                    server.connections.iter().for_each(|&conn| self.hub.set_paused(conn, on));
                }
                self.finish_running_jobs(&servers, on);
            }
            Command::HangServers { servers, on } => {
                self.change_servers(&servers, |server| server.hung = on);
                self.finish_running_jobs(&servers, on);
            }
            Command::SlowServers { servers, factor } => {
                self.change_servers(&servers, |server| server.slowdown = factor)
            }
            Command::FailInvocations { servers, fraction } => {
                self.change_servers(&servers, |server| server.failure_fraction = fraction)
            }
            Command::MisreportLoad { servers, on } => {
                self.change_servers(&servers, |server| server.misreports = on)
            }
            Command::DrainServers { servers, grace } => {
                for &id in &servers {
                    self.hub.set_timer(now() + grace, Timer::DrainGraceOver(id));
                }
            }
            Command::LimitConnections { servers, fraction } => {
                self.change_servers(&servers, |server| server.connection_fraction = fraction)
            }
            Command::DelayConnections { servers, delay } => {
                self.change_servers(&servers, |server| server.handshake_delay = delay)
            }
            other => eprintln!("servers do not support the command {other:?}"),
        }
        Ok(())
    }
}
