//! Stand-ins for forwarders. A forwarder sends the invocations of callers to servers by the tables of a
//! supervisor, keeps its tables when the supervisor is unreachable, ejects servers that fail and reports load.
//! Balancers receive weights by SASP instead, and report nothing.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use anyhow::Result;
use oorandom::Rand64;
use prost::Message as _;
use shalereel::interface::{Nanos, RetryPolicy};
use shalereel_group::wire::{epoch_of_version, RangesRequest, RangesResponse, RANGES_STREAM_PATH};
use shalereel_group::{LeaseClient, RangeRoute, RouteTenure};
use shalereel_reactor::{now, TimerId, Token, SECOND};
use shalereel_rpc::{Code, ConnId, Hub, Input, Status, StreamId};
use shalereel_sasp::{Body, Frames, Group, LbFlags, Member, MemberState, Message, ReturnCode, WeightEntry};
use shalereel_store::{Check, Delta, DeltaOutcome, Replica, ResyncBackoff, UNIT_WEIGHT};
use shalereel_xds::{
    decode_retries, leds, types, Assignment, ClientStream, ClusterLoad, EndpointLoad, Health, LoadReport,
    LoadReportConfig, NodeInfo, Update, Variant, ADS, DELTA_ADS, EXCLUDED, LRS,
};

use crate::plan::{Command, ForwarderPlan, ForwardersPlan, LoadBalancing, Ready};
use crate::trace::{TraceEvent, TraceWriter};
use crate::work::{path, Invocation, ServerResponse};
use crate::{read_plan, write_ready, CONNECTION_LIMITS};

/// Name of the route configuration that a supervisor serves.
const ROUTE_CONFIGURATION: &str = "shalereel";
/// Key range leases are requested this many times within the duration of one.
const REQUESTS_PER_LEASE: Nanos = 4;
/// Maximum size of a SASP message.
const MAX_SASP_MESSAGE_BYTES: usize = 4 << 20;
/// A zone with fewer servers than this gets a bootstrap table of servers of all zones.
const MIN_LOCAL_BOOTSTRAP_SERVERS: usize = 3;
/// Reason in the rejection of an update that a command has told a forwarder to reject.
const REJECTION_REASON: &str = "told to turn it down";
/// Shortest interval between load reports, whatever a supervisor asks for, ns.
const MIN_REPORT_INTERVAL: Nanos = SECOND / 100;
/// Interval between two ticks of the faulty balancers, ns.
const FAULT_TICK: Nanos = SECOND / 1000;
/// Number of ticks between attempts to open missing connections of faulty balancers.
const FAULT_CONNECT_TICKS: u32 = 50;
/// Number of ticks between two actions of faulty balancers that do not act at every tick.
const FAULT_ACTION_TICKS: u32 = 20;
/// Number of members that the balancer which never reads registers.
const LARGE_GROUP_MEMBERS: u16 = 10_000;
/// Number of bytes of a message that are sent before the connection is reset.
const PARTIAL_MESSAGE_BYTES: usize = 20;
/// Failures that a load report claims for a server that never existed.
const UNKNOWN_SERVER_FAILURES: u64 = 50;
/// Multiplier that spreads invocation numbers over the key ranges (2^64 divided by the golden ratio).
const KEY_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a timer is for.
enum Timer {
    /// A forwarder connects to a supervisor again.
    Reconnect(u32),
    /// A forwarder sends its load report; ignored if the generation has changed.
    Report(u32, u64),
    /// A load report that was delayed leaves on this connection.
    DelayedReport(u32, ConnId, Vec<u8>),
    /// The attempt of a pending invocation takes too long.
    AttemptTimeout(u64),
    /// A forwarder renews its key range leases; ignored if the generation has changed.
    RequestRanges(u32, u64),
    /// An update that was delayed arrives on this connection.
    DelayedUpdate(u32, ConnId, Box<Update>),
    /// A forwarder requests the tables whose resync is due.
    Resync(u32),
    /// Faulty balancers act.
    FaultyBalancers,
}

/// How a faulty balancer or member violates SASP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BalancerFault {
    /// Requests weights at every tick.
    PollsConstantly,
    /// Registers many members and never reads what is pushed.
    NeverReads,
    /// Resets the connection after half a message.
    ResetsWithinMessage,
    /// Deregisters the group of another balancer.
    DeregistersOthers,
    /// A member that quiesces and resumes at every tick.
    FlapsState,
}

/// A line of a table as a forwarder uses it.
#[derive(Clone, Debug)]
struct Line {
    address: SocketAddr,
    weight: f64,
    /// Current weight in the smooth weighted round robin.
    credit: f64,
}

/// The table of one operation.
#[derive(Debug, Default)]
struct Table {
    lines: Vec<Line>,
    /// Weight (as its bits) and health of each server in the last assignment, to count what changes.
    received: BTreeMap<SocketAddr, (u64, Health)>,
    /// Fraction of the invocations that is admitted.
    admitted: f64,
    /// Whether the trace says that there is no usable line.
    lacks_line: bool,
}

/// Attempts at one server since the last load report.
#[derive(Debug, Default)]
struct ServerStats {
    succeeded: u64,
    failed: u64,
    timed_responses: u64,
    response_time_sum: Nanos,
    /// CPU utilization in the server's latest response.
    cpu: Option<f64>,
}

/// Attempts for one operation since the last load report.
#[derive(Debug, Default)]
struct OperationStats {
    /// Invocations that were rejected without an attempt.
    dropped: u64,
    servers: BTreeMap<SocketAddr, ServerStats>,
}

/// An invocation that its caller waits for, with its current attempt.
struct PendingInvocation {
    forwarder: u32,
    caller: (ConnId, StreamId),
    invocation: Invocation,
    deadline: Nanos,
    /// Server of the current attempt.
    server: SocketAddr,
    attempt_started_at: Nanos,
    /// The call to the server; none while the attempt cannot reach it.
    call: Option<(ConnId, StreamId)>,
    timer: Option<TimerId>,
    retry_policy: RetryPolicy,
    response: Option<ServerResponse>,
}

/// One forwarder.
struct Forwarder {
    plan: ForwarderPlan,
    listener: Token,
    caller_connections: BTreeSet<ConnId>,
    alive: bool,
    stalled: bool,
    /// Index of the supervisor that it connects to.
    supervisor_index: usize,
    /// Connection to the supervisor, discovery stream and load report stream; a balancer has no streams.
    supervisor_link: Option<(ConnId, StreamId, StreamId)>,
    /// Decoder of SASP messages that arrive in parts.
    frames: Frames,
    /// Whether the supervisor has answered on the current connection.
    connected: bool,
    discovery: ClientStream,
    /// Number of the current report timer; reports of older timers are ignored.
    report_generation: u64,
    /// Tables by operation.
    tables: Vec<Table>,
    /// Servers that no operation uses, whatever its table says.
    excluded: BTreeSet<SocketAddr>,
    /// Retry policies by operation.
    retry_policies: Vec<RetryPolicy>,
    consecutive_failures: BTreeMap<SocketAddr, u32>,
    /// Ejected servers and the time until which they are avoided.
    ejected_until: BTreeMap<SocketAddr, Nanos>,
    server_connections: BTreeMap<SocketAddr, ConnId>,
    /// Number of open attempts by server.
    open_attempts: BTreeMap<SocketAddr, u32>,
    /// Statistics by operation since the last load report.
    stats: Vec<OperationStats>,
    reported_at: Nanos,
    report_interval: Nanos,
    /// Number of updates that a command has told it to reject.
    updates_to_reject: u32,
    /// Replicas of tables that arrive line by line, by table.
    replicas: BTreeMap<u16, Replica>,
    /// By operation, the table that its lines come from.
    collections: Vec<Option<u16>>,
    /// Epoch of its tables; updates of an older epoch are rejected.
    epoch: u64,
    /// Stream of key range leases.
    ranges_stream: Option<StreamId>,
    lease_client: LeaseClient,
    /// Addresses of servers that own key ranges, by server.
    owner_addresses: BTreeMap<u32, SocketAddr>,
    /// Total number of key ranges.
    range_count: u32,
    lease_duration: Nanos,
    /// Number of the current renewal timer; older timers are ignored.
    ranges_generation: u64,
}

/// All forwarders of the process.
struct Forwarders {
    hub: Hub<u32, Timer>,
    plan: ForwardersPlan,
    forwarders: BTreeMap<u32, Forwarder>,
    /// The forwarder of each connection to a supervisor.
    supervisor_connections: BTreeMap<ConnId, u32>,
    /// The forwarder and the server of each connection to a server.
    server_connections: BTreeMap<ConnId, (u32, SocketAddr)>,
    /// Connections on which a call has ended.
    responding_connections: BTreeSet<ConnId>,
    /// The forwarder of each call from a caller.
    caller_calls: BTreeMap<(ConnId, StreamId), u32>,
    /// Pending invocations by an id of this process.
    pending: BTreeMap<u64, PendingInvocation>,
    pending_by_server_call: BTreeMap<(ConnId, StreamId), u64>,
    pending_by_caller_call: BTreeMap<(ConnId, StreamId), u64>,
    server_numbers: BTreeMap<SocketAddr, u32>,
    server_zones: BTreeMap<SocketAddr, String>,
    isolated_zones: Vec<String>,
    report_delay: Nanos,
    /// Fraction of the updates that is lost, and the longest delay of those that are delayed.
    update_disturbance: (f64, Nanos),
    reports_unknown_server: bool,
    faulty_balancers: BTreeMap<ConnId, BalancerFault>,
    /// Ticks of the faulty balancers, from 1; 0 while they are off.
    fault_tick: u32,
    /// Last id given to a pending invocation or a report timer.
    last_id: u64,
    random: Rand64,
    trace: TraceWriter,
}

/// Runs the role `forwarders`.
pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(CONNECTION_LIMITS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (ForwardersPlan, _) = read_plan(&mut hub)?;
    let trace = TraceWriter::new(&plan.trace_path)?;
    let mut addresses = Vec::new();
    let mut forwarders = Forwarders {
        forwarders: BTreeMap::new(),
        supervisor_connections: BTreeMap::new(),
        server_connections: BTreeMap::new(),
        responding_connections: BTreeSet::new(),
        caller_calls: BTreeMap::new(),
        pending: BTreeMap::new(),
        pending_by_server_call: BTreeMap::new(),
        pending_by_caller_call: BTreeMap::new(),
        server_numbers: plan.servers.iter().map(|server| (server.address, server.server)).collect(),
        server_zones: plan.servers.iter().map(|server| (server.address, server.zone.clone())).collect(),
        isolated_zones: Vec::new(),
        report_delay: 0,
        update_disturbance: (0.0, 0),
        reports_unknown_server: false,
        faulty_balancers: BTreeMap::new(),
        fault_tick: 0,
        last_id: 0,
        random: Rand64::new(plan.seed.into()),
        trace,
        hub,
        plan,
    };
    let bootstrap_servers: Vec<u32> = forwarders.plan.servers.iter().map(|server| server.server).collect();
    for (index, mut plan) in forwarders.plan.forwarders.clone().into_iter().enumerate() {
        let (listener, address) = forwarders.hub.listen(plan.address, plan.forwarder)?;
        plan.address = address;
        addresses.push(address);
        forwarders.start_forwarder(plan, listener, index, &bootstrap_servers);
    }
    write_ready(&Ready { addresses })?;
    let mut inputs = rest;
    loop {
        for input in inputs {
            if !forwarders.handle_input(input)? {
                return forwarders.trace.finish();
            }
        }
        inputs = forwarders.hub.wait(None)?;
    }
}

impl Forwarder {
    /// Lines of an operation without excluded servers.
    fn usable_lines(&self, operation: usize) -> impl Iterator<Item = &Line> {
        self.tables[operation].lines.iter().filter(|line| !self.excluded.contains(&line.address))
    }
}

impl Forwarders {
    /// Starts a forwarder with a bootstrap table: random servers of its zone, equally weighted.
    fn start_forwarder(
        &mut self,
        plan: ForwarderPlan,
        listener: Token,
        supervisor_index: usize,
        bootstrap_servers: &[u32],
    ) {
        let local = |server: &&crate::ServerPlan| {
            bootstrap_servers.contains(&server.server) && server.zone == plan.zone
        };
        let mut drawn: Vec<SocketAddr> =
            self.plan.servers.iter().filter(local).map(|server| server.address).collect();
        if drawn.len() < MIN_LOCAL_BOOTSTRAP_SERVERS {
            let all = self.plan.servers.iter().filter(|server| bootstrap_servers.contains(&server.server));
            drawn = all.map(|server| server.address).collect();
        }
        while drawn.len() > self.plan.bootstrap_table_size {
            drawn.swap_remove(self.random.rand_range(0..drawn.len() as u64) as usize);
        }
        let lines = || drawn.iter().map(|&address| Line { address, weight: 1.0, credit: 0.0 }).collect();
        let operation_count = self.plan.operations.len();
        let variant = if self.plan.incremental || self.plan.supports_lines {
            Variant::Incremental
        } else {
            Variant::StateOfTheWorld
        };
        let node = NodeInfo {
            id: format!("forwarder-{}", plan.forwarder),
            zone: plan.zone.clone(),
            rate: plan.usual_rate,
            is_new: true,
            supports_lines: self.plan.supports_lines,
        };
        let mut discovery = ClientStream::new(variant, node);
        let names = self.plan.operations.iter().map(|operation| operation.name.clone());
        discovery.subscribe(types::ASSIGNMENT, names.chain([EXCLUDED.to_owned()]));
        discovery.subscribe(types::ROUTES, [ROUTE_CONFIGURATION.to_owned()]);
        let id = plan.forwarder;
        self.last_id += 1;
        let forwarder = Forwarder {
            plan,
            listener,
            caller_connections: BTreeSet::new(),
            alive: true,
            stalled: false,
            supervisor_index: supervisor_index % self.plan.supervisors.len().max(1),
            supervisor_link: None,
            frames: Frames::new(MAX_SASP_MESSAGE_BYTES),
            connected: false,
            discovery,
            report_generation: self.last_id,
            tables: (0..operation_count)
                .map(|_| Table { lines: lines(), admitted: 1.0, ..Table::default() })
                .collect(),
            excluded: BTreeSet::new(),
            retry_policies: vec![RetryPolicy::Never; operation_count],
            consecutive_failures: BTreeMap::new(),
            ejected_until: BTreeMap::new(),
            server_connections: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            stats: (0..operation_count).map(|_| OperationStats::default()).collect(),
            reported_at: now(),
            report_interval: 0,
            updates_to_reject: 0,
            replicas: BTreeMap::new(),
            collections: vec![None; operation_count],
            epoch: 0,
            ranges_stream: None,
            lease_client: LeaseClient::new(self.plan.unfenced),
            owner_addresses: BTreeMap::new(),
            range_count: 0,
            lease_duration: 0,
            ranges_generation: 0,
        };
        self.forwarders.insert(id, forwarder);
        self.connect(id);
    }

    /// Handles one input; returns whether the process goes on.
    fn handle_input(&mut self, input: Input<u32, Timer>) -> Result<bool> {
        match input {
            Input::Opened { conn, listener: id } => {
                if let Some(forwarder) = self.forwarders.get_mut(&id) {
                    forwarder.caller_connections.insert(conn);
                    self.hub.set_paused(conn, forwarder.stalled);
                }
            }
            Input::Call { conn, stream, .. } => {
                let forwarder =
                    self.forwarders.values().find(|forwarder| forwarder.caller_connections.contains(&conn));
                if let Some(forwarder) = forwarder {
                    self.caller_calls.insert((conn, stream), forwarder.plan.forwarder);
                }
            }
            Input::Message { conn, stream, message } => {
                if let Some(&forwarder) = self.supervisor_connections.get(&conn) {
                    self.handle_supervisor_message(forwarder, conn, stream, &message);
                } else if let Some(&id) = self.pending_by_server_call.get(&(conn, stream)) {
                    if let Some(pending) = self.pending.get_mut(&id) {
                        pending.response = ServerResponse::decode(message).ok();
                    }
                } else if let Some(&forwarder) = self.caller_calls.get(&(conn, stream)) {
                    match Invocation::decode(message) {
                        Ok(invocation) => self.handle_invocation(forwarder, (conn, stream), invocation),
                        Err(error) => {
                            self.hub.finish(
                                conn,
                                stream,
                                Status::new(Code::InvalidArgument, error.to_string()),
                            );
                        }
                    }
                }
            }
            Input::Bytes { conn, bytes } => {
                if let Some(&id) = self.supervisor_connections.get(&conn) {
                    self.receive_sasp(id, &bytes);
                }
            }
            Input::HalfClosed { .. } | Input::Woken | Input::Reload => {}
            Input::Ended { conn, stream, status } => self.handle_call_end(conn, stream, &status),
            Input::Closed { conn, reason } => self.handle_close(conn, &reason.to_string()),
            Input::Timer(Timer::Reconnect(forwarder)) => self.connect(forwarder),
            Input::Timer(Timer::Report(forwarder, generation)) => self.send_report(forwarder, generation),
            Input::Timer(Timer::DelayedReport(forwarder, conn, message)) => {
                let link = self.forwarders.get(&forwarder).and_then(|forwarder| forwarder.supervisor_link);
                if let Some((_, _, load_reports)) = link.filter(|link| link.0 == conn) {
                    self.hub.send(conn, load_reports, &message);
                }
            }
            Input::Timer(Timer::AttemptTimeout(id)) => {
                if let Some(pending) = self.pending.get(&id) {
                    if let Some((conn, stream)) = pending.call {
                        self.hub.cancel(conn, stream);
                        self.pending_by_server_call.remove(&(conn, stream));
                    }
                    self.finish_attempt(
                        id,
                        Err((Status::new(Code::DeadlineExceeded, "no answer in time"), false)),
                    );
                }
            }
            Input::Timer(Timer::RequestRanges(forwarder, generation)) => {
                let current = self
                    .forwarders
                    .get(&forwarder)
                    .is_some_and(|forwarder| forwarder.ranges_generation == generation);
                if current {
                    self.request_ranges(forwarder);
                }
            }
            Input::Timer(Timer::DelayedUpdate(id, conn, update)) => {
                let link = self.forwarders.get(&id).and_then(|forwarder| forwarder.supervisor_link);
                if let Some((_, stream, _)) = link.filter(|link| link.0 == conn) {
                    self.apply_lines(id, conn, stream, &update, 0);
                }
            }
            Input::Timer(Timer::Resync(id)) => self.resync(id),
            Input::Timer(Timer::FaultyBalancers) => self.run_faulty_balancers(),
            Input::Line(line) => self.handle_command(serde_json::from_str(&line)?),
            Input::EndOfLines | Input::Stop => return Ok(false),
        }
        Ok(true)
    }

    /// Connects a balancer to its supervisor, sets its flags and registers all servers, one group for each operation.
    fn connect_sasp(&mut self, id: u32) {
        let Some(forwarder) = self
            .forwarders
            .get_mut(&id)
            .filter(|forwarder| forwarder.alive && forwarder.supervisor_link.is_none())
        else {
            return;
        };
        let Some(&address) = self.plan.sasp_supervisors.get(forwarder.supervisor_index) else { return };
        let Ok(conn) = self.hub.dial_plain(address) else { return self.schedule_reconnect(id) };
        forwarder.supervisor_link = Some((conn, 0, 0));
        forwarder.frames = Frames::new(MAX_SASP_MESSAGE_BYTES);
        self.supervisor_connections.insert(conn, id);
        let balancer = format!("balancer-{id}").into_bytes();
        let flags = LbFlags { push: true, trust: false, no_change: true };
        let members: Vec<Member> =
            self.plan.servers.iter().map(|server| Member::tcp(server.address)).collect();
        let group = |operation: &crate::OperationPlan| {
            let group = Group { balancer: balancer.clone(), name: operation.name.clone().into_bytes() };
            (group, members.clone())
        };
        let groups = self.plan.operations.iter().map(group).collect();
        let state = Body::SetLbState { balancer: balancer.clone(), health: 0, flags };
        let register = Body::Register { from_balancer: true, groups };
        for (id, body) in [state, register].into_iter().enumerate() {
            self.hub.write(conn, &Message { id: id as u32, body }.encode());
        }
        self.hub.set_paused(conn, forwarder.stalled);
    }

    /// Handles bytes that a balancer receives from its supervisor.
    fn receive_sasp(&mut self, id: u32, bytes: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        forwarder.frames.push(bytes);
        loop {
            let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
            match forwarder.frames.take() {
                Ok(None) => return,
                Err(error) => {
                    eprintln!("balancer {id} received an invalid message: {error}");
                    return self.disconnect(id);
                }
                Ok(Some(Message { body: Body::Registered(ReturnCode::Successful), .. })) => {
                    if !std::mem::replace(&mut forwarder.connected, true) {
                        let supervisor = forwarder.supervisor_index as u32;
                        self.trace.write(&TraceEvent::SupervisorConnected {
                            at: now(),
                            forwarder: id,
                            supervisor,
                        });
                    }
                }
                Ok(Some(Message { body: Body::SendWeights { groups }, .. })) => {
                    self.apply_weights(id, &groups, bytes);
                }
                Ok(Some(Message { body: Body::LbStateSet(ReturnCode::Successful), .. })) => {}
                Ok(Some(other)) => {
                    eprintln!("balancer {id} received an unexpected message: {:?}", other.body)
                }
            }
        }
    }

    /// Applies weights; a member that is not named keeps its weight.
    fn apply_weights(&mut self, id: u32, groups: &[(Group, Vec<WeightEntry>)], bytes: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let mut changed_lines = 0;
        for (group, entries) in groups {
            let has_group_name = |operation: &crate::OperationPlan| operation.name.as_bytes() == group.name;
            let Some(index) = self.plan.operations.iter().position(has_group_name) else { continue };
            let table = &mut forwarder.tables[index];
            // The first weights replace the bootstrap table.
            if table.received.is_empty() {
                table.lines.clear();
            }
            changed_lines = changed_lines.max(entries.len());
            for entry in entries {
                let address = entry.member.socket();
                table.received.insert(address, (entry.weight.into(), Health::Ready));
                let weight = if entry.quiesce { 0.0 } else { f64::from(entry.weight) };
                let old = table.lines.iter_mut().find(|line| line.address == address);
                match old {
                    Some(line) => line.weight = weight,
                    None => table.lines.push(Line { address, weight, credit: 0.0 }),
                }
            }
            if !self.plan.ignore_drains {
                table.lines.retain(|line| line.weight > 0.0);
            }
        }
        let supervisor = forwarder.supervisor_index as u32;
        // SASP carries no time of the order, so the trace has the time of receipt. Delays show up in the traces of xDS.
        let at = now();
        let (changed_lines, bytes) = (changed_lines as u32, bytes.len() as u32);
        self.trace.write(&TraceEvent::UpdateReceived {
            at,
            forwarder: id,
            supervisor,
            changed_lines,
            ordered_at: at,
            epoch: 0,
            bytes,
        });
        self.close_unused(id);
        self.trace_missing_lines(id);
    }

    /// Connects a forwarder to its supervisor and opens its streams.
    fn connect(&mut self, id: u32) {
        if self.forwarders.get(&id).is_some_and(|forwarder| forwarder.plan.uses_sasp) {
            return self.connect_sasp(id);
        }
        let Some(forwarder) = self
            .forwarders
            .get_mut(&id)
            .filter(|forwarder| forwarder.alive && forwarder.supervisor_link.is_none())
        else {
            return;
        };
        let Some(&address) = self.plan.supervisors.get(forwarder.supervisor_index) else { return };
        let discovery_path = if self.plan.incremental || self.plan.supports_lines { DELTA_ADS } else { ADS };
        let Ok(conn) = self.hub.dial(address) else { return self.schedule_reconnect(id) };
        let (Some(discovery), Some(load_reports)) =
            (self.hub.call(conn, discovery_path, None), self.hub.call(conn, LRS, None))
        else {
            return;
        };
        forwarder.supervisor_link = Some((conn, discovery, load_reports));
        forwarder.ranges_stream =
            self.plan.keyed_operation.and_then(|_| self.hub.call(conn, RANGES_STREAM_PATH, None));
        forwarder.lease_client.stream_reopened();
        forwarder.connected = false;
        self.supervisor_connections.insert(conn, id);
        let version = |(&table, replica): (&u16, &Replica)| {
            Some((leds::collection(table), replica.verified()?.to_string()))
        };
        let versions = forwarder.replicas.iter().filter_map(version).collect();
        forwarder.discovery.set_resource_versions(types::LINE, versions);
        forwarder.replicas.values_mut().for_each(Replica::stream_reopened);
        for message in forwarder.discovery.reopen() {
            self.hub.send(conn, discovery, &message);
        }
        let report = LoadReport { node: Some(forwarder.discovery.node.clone()), clusters: Vec::new() };
        self.hub.send(conn, load_reports, &report.encode());
        self.hub.set_paused(conn, forwarder.stalled);
        self.request_ranges(id);
    }

    /// Requests key range leases, and sets a timer to renew them before they end.
    fn request_ranges(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|forwarder| forwarder.alive) else {
            return;
        };
        let Some(((conn, ..), stream)) = forwarder.supervisor_link.zip(forwarder.ranges_stream) else {
            return;
        };
        let time = now();
        let request = forwarder.lease_client.request(time);
        self.hub.send(
            conn,
            stream,
            &RangesRequest {
                sent_at: time,
                last_response_read: request.last_response_read,
                held: request.held,
            }
            .encode_to_vec(),
        );
        forwarder.ranges_generation += 1;
        let delay = if forwarder.lease_duration > 0 {
            forwarder.lease_duration / REQUESTS_PER_LEASE
        } else {
            self.plan.reconnect_delay.0
        };
        self.hub.set_timer(time + delay, Timer::RequestRanges(id, forwarder.ranges_generation));
    }

    /// Applies a response with key range leases.
    fn handle_ranges(&mut self, id: u32, message: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Ok(response) = RangesResponse::decode(message) else { return };
        (forwarder.range_count, forwarder.lease_duration) = (response.range_count, response.tenure);
        let mut routes = Vec::new();
        for route in &response.routes {
            if let Ok(address) = route.address.parse() {
                forwarder.owner_addresses.insert(route.owner, address);
                routes.push(RangeRoute { range: route.range, owner: route.owner, epoch: route.epoch });
            }
        }
        let lease = RouteTenure { requested_at: response.request_sent_at, duration: response.tenure };
        let lease = (response.request_sent_at > 0).then_some(lease);
        let routes = (!response.routes_omitted).then_some(&routes[..]);
        if forwarder.lease_client.handle_response(response.sequence, lease, routes) {
            self.request_ranges(id);
        }
    }

    /// Chooses the next supervisor and sets a timer to connect to it after a random delay.
    fn schedule_reconnect(&mut self, id: u32) {
        let (shortest, longest) = self.plan.reconnect_delay;
        let delay = shortest + (self.random.rand_float() * longest.saturating_sub(shortest) as f64) as Nanos;
        if let Some(forwarder) = self.forwarders.get_mut(&id) {
            forwarder.supervisor_index =
                (forwarder.supervisor_index + 1) % self.plan.supervisors.len().max(1);
            self.hub.set_timer(now() + delay, Timer::Reconnect(id));
        }
    }

    /// Ends the connection to the supervisor and schedules a new one.
    fn disconnect(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Some((conn, ..)) = forwarder.supervisor_link.take() else { return };
        self.supervisor_connections.remove(&conn);
        if std::mem::replace(&mut forwarder.connected, false) {
            self.trace.write(&TraceEvent::SupervisorDisconnected { at: now(), forwarder: id });
        }
        forwarder.discovery.node.is_new = false;
        if forwarder.plan.uses_sasp {
            // The first weights of the next supervisor replace the current lines.
            forwarder.tables.iter_mut().for_each(|table| table.received.clear());
        }
        self.hub.close(conn);
        self.schedule_reconnect(id);
    }

    /// Handles a message of a supervisor on any of the streams.
    fn handle_supervisor_message(&mut self, id: u32, conn: ConnId, stream: StreamId, message: &[u8]) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Some((_, discovery, load_reports)) = forwarder.supervisor_link.filter(|link| link.0 == conn)
        else {
            return;
        };
        if stream == load_reports {
            if let Ok(config) = LoadReportConfig::decode(message) {
                forwarder.report_interval = config.interval.max(MIN_REPORT_INTERVAL);
                self.last_id += 1;
                forwarder.report_generation = self.last_id;
                self.hub.set_timer(
                    now() + forwarder.report_interval,
                    Timer::Report(id, forwarder.report_generation),
                );
                if !std::mem::replace(&mut forwarder.connected, true) {
                    let supervisor = forwarder.supervisor_index as u32;
                    self.trace.write(&TraceEvent::SupervisorConnected {
                        at: now(),
                        forwarder: id,
                        supervisor,
                    });
                }
            }
        } else if Some(stream) == forwarder.ranges_stream {
            self.handle_ranges(id, message);
        } else if stream == discovery {
            match forwarder.discovery.handle(message) {
                Ok(update) if update.type_url == types::LINE => {
                    self.deliver_lines(id, conn, stream, update, message.len());
                }
                Ok(update) => self.handle_update(id, conn, stream, &update, message.len()),
                Err(status) => eprintln!("forwarder {id} received an invalid update: {status}"),
            }
        }
    }

    /// Applies an update with lines after the injected disturbance, which loses, delays, reorders or repeats updates.
    /// The forwarder does not know of it and must recover by itself.
    fn deliver_lines(&mut self, id: u32, conn: ConnId, stream: StreamId, update: Update, bytes: usize) {
        let (fraction, delay) = self.update_disturbance;
        let drawn = if fraction > 0.0 { self.random.rand_float() / fraction } else { f64::INFINITY };
        if drawn < 2.5 {
            self.trace.write(&TraceEvent::UpdateDisturbed { at: now(), forwarder: id });
        }
        // Below 1 the update is lost, below 2 it is delayed, below 2.5 it is delivered twice.
        match drawn {
            drawn if drawn < 1.0 => {}
            drawn if drawn < 2.0 => {
                let delivered_at = now() + (delay as f64 * self.random.rand_float()) as Nanos;
                self.hub.set_timer(delivered_at, Timer::DelayedUpdate(id, conn, Box::new(update)));
            }
            drawn if drawn < 2.5 => {
                self.apply_lines(id, conn, stream, &update, bytes);
                self.apply_lines(id, conn, stream, &update, 0);
            }
            _ => self.apply_lines(id, conn, stream, &update, bytes),
        }
    }

    /// Applies changed lines of one table, and acknowledges them if they match their check.
    fn apply_lines(&mut self, id: u32, conn: ConnId, stream: StreamId, update: &Update, bytes: usize) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if forwarder.updates_to_reject > 0 {
            forwarder.updates_to_reject -= 1;
            let response = forwarder.discovery.nack(update, REJECTION_REASON.into());
            return self.hub.send(conn, stream, &response);
        }
        // Only a version with a slash carries an epoch.
        let (epoch, fenced) = (epoch_of_version(&update.version), update.version.contains('/'));
        let default_table = forwarder.collections.iter().flatten().next().copied();
        let decoded = decode_lines(update, default_table);
        let delta = match decoded {
            _ if fenced && epoch < forwarder.epoch && !self.plan.unfenced => Err(Status::new(
                Code::InvalidArgument,
                format!("epoch {epoch} is older than {}", forwarder.epoch),
            )),
            decoded => decoded,
        };
        let (table, delta) = match delta {
            Ok(decoded) => decoded,
            Err(status) => {
                let response = forwarder.discovery.nack(update, status.message);
                return self.hub.send(conn, stream, &response);
            }
        };
        forwarder.epoch = if fenced { epoch } else { forwarder.epoch };
        let Some(replica) = forwarder.replicas.get_mut(&table) else { return };
        let outcome = replica.receive(now(), &delta);
        let resync_at = replica.resync_due();
        if matches!(outcome, DeltaOutcome::Applied | DeltaOutcome::Stale) {
            let response = forwarder.discovery.ack(update);
            self.hub.send(conn, stream, &response);
        }
        self.schedule_resync(id, resync_at);
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let (_, ordered_at) = update.stamp().unwrap_or_default();
        let (supervisor, changed_lines) = (forwarder.supervisor_index as u32, delta.line_count() as u32);
        let (epoch, bytes) = (forwarder.epoch, bytes as u32);
        self.trace.write(&TraceEvent::UpdateReceived {
            at: now(),
            forwarder: id,
            supervisor,
            changed_lines,
            ordered_at,
            epoch,
            bytes,
        });
        self.use_replica(id, table);
    }

    /// Sets a timer for the next resync, if there is one.
    fn schedule_resync(&mut self, id: u32, resync_at: Option<Nanos>) {
        if let Some(resync_at) = resync_at {
            self.hub.set_timer(resync_at, Timer::Resync(id));
        }
    }

    /// Requests all tables again whose resync is due.
    fn resync(&mut self, id: u32) {
        let time = now();
        let Some(forwarder) =
            self.forwarders.get_mut(&id).filter(|forwarder| forwarder.alive && !forwarder.stalled)
        else {
            return;
        };
        let Some((conn, stream, _)) = forwarder.supervisor_link else { return };
        let mut requested = BTreeMap::new();
        for (&table, replica) in &mut forwarder.replicas {
            if replica.resync_due().is_some_and(|due| due <= time) {
                let version = replica.resync(time).map(|check| check.to_string());
                requested.insert(leds::collection(table), version);
            }
        }
        if requested.is_empty() {
            return;
        }
        let next_resync_at = forwarder.replicas.values().filter_map(Replica::resync_due).min();
        let message = forwarder.discovery.resubscribe(types::LINE, requested);
        self.hub.send(conn, stream, &message);
        self.trace.write(&TraceEvent::ResyncRequested { at: time, forwarder: id });
        self.schedule_resync(id, next_resync_at);
    }

    /// Copies the lines of a replica into the tables of the operations that use it.
    fn use_replica(&mut self, id: u32, table_id: u16) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let Some(replica) = forwarder.replicas.get(&table_id).filter(|replica| !replica.lines().is_empty())
        else {
            return;
        };
        for (table, collection) in forwarder.tables.iter_mut().zip(&forwarder.collections) {
            if *collection != Some(table_id) {
                continue;
            }
            let credits: BTreeMap<SocketAddr, f64> =
                table.lines.iter().map(|line| (line.address, line.credit)).collect();
            let old_lines = std::mem::take(&mut table.lines);
            table.lines.extend(replica.usable_lines().map(|(_, line)| Line {
                address: line.address,
                weight: f64::from(line.weight) / UNIT_WEIGHT,
                credit: credits.get(&line.address).copied().unwrap_or(0.0),
            }));
            if self.plan.ignore_drains {
                let current: BTreeSet<SocketAddr> = table.lines.iter().map(|line| line.address).collect();
                table.lines.extend(old_lines.into_iter().filter(|line| !current.contains(&line.address)));
            }
        }
        self.close_unused(id);
        self.trace_missing_lines(id);
    }

    /// Lets an operation use the lines of a collection. Subscribes to the collection if it is new, and unsubscribes
    /// from those that no operation uses any more.
    fn use_collection(
        &mut self,
        id: u32,
        conn: ConnId,
        stream: StreamId,
        operation: usize,
        collection: &str,
    ) -> Result<(), Status> {
        let Some(table) = leds::table_of(collection) else {
            return Err(Status::new(
                Code::InvalidArgument,
                format!("{collection:?} is no collection of ours"),
            ));
        };
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return Ok(()) };
        forwarder.collections[operation] = Some(table);
        let used: BTreeSet<u16> = forwarder.collections.iter().flatten().copied().collect();
        let unused: Vec<u16> =
            forwarder.replicas.keys().filter(|table| !used.contains(table)).copied().collect();
        for table in unused {
            forwarder.replicas.remove(&table);
            forwarder.discovery.unsubscribe(types::LINE, &leds::collection(table));
        }
        if let Entry::Vacant(vacant) = forwarder.replicas.entry(table) {
            let seed = self.plan.seed ^ u64::from(id) << 16 ^ u64::from(table);
            vacant.insert(Replica::new(ResyncBackoff::new(self.plan.reconnect_delay.0, seed)));
            let message =
                forwarder.discovery.resubscribe(types::LINE, BTreeMap::from([(collection.to_owned(), None)]));
            self.hub.send(conn, stream, &message);
        }
        self.use_replica(id, table);
        Ok(())
    }

    /// Handles an update of the discovery stream other than lines, and acknowledges or rejects it.
    fn handle_update(&mut self, id: u32, conn: ConnId, stream: StreamId, update: &Update, bytes: usize) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if forwarder.updates_to_reject > 0 {
            forwarder.updates_to_reject -= 1;
            let response = forwarder.discovery.nack(update, REJECTION_REASON.into());
            return self.hub.send(conn, stream, &response);
        }
        let epoch = epoch_of_version(&update.version);
        if epoch < forwarder.epoch && update.version.contains('/') && !self.plan.unfenced {
            let reason = format!("epoch {epoch} is older than {} that is held", forwarder.epoch);
            let response = forwarder.discovery.nack(update, reason);
            return self.hub.send(conn, stream, &response);
        }
        forwarder.epoch = if update.version.contains('/') { epoch } else { forwarder.epoch };
        let result = match update.type_url.as_str() {
            types::ROUTES => update.resources.iter().try_for_each(|any| {
                for (name, policy) in decode_retries(any)? {
                    if let Some(index) =
                        self.plan.operations.iter().position(|operation| operation.name == name)
                    {
                        forwarder.retry_policies[index] = policy;
                    }
                }
                Ok::<(), Status>(())
            }),
            _ => self.apply_assignments(id, conn, stream, update, bytes),
        };
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let response = match result {
            Ok(()) => forwarder.discovery.ack(update),
            Err(status) => forwarder.discovery.nack(update, status.message),
        };
        self.hub.send(conn, stream, &response);
        self.trace_missing_lines(id);
    }

    /// Applies the tables of an update.
    fn apply_assignments(
        &mut self,
        id: u32,
        conn: ConnId,
        stream: StreamId,
        update: &Update,
        bytes: usize,
    ) -> Result<(), Status> {
        // Everything is decoded first, so that an invalid resource rejects the whole update.
        let tables: Vec<Assignment> =
            update.resources.iter().map(Assignment::decode).collect::<Result<_, _>>()?;
        let collections: Vec<Option<String>> =
            update.resources.iter().map(leds::collection_of).collect::<Result<_, _>>()?;
        let mut changed_lines = 0;
        for (assignment, collection) in tables.into_iter().zip(collections) {
            let Some(forwarder) = self.forwarders.get_mut(&id) else { return Ok(()) };
            if assignment.cluster == EXCLUDED {
                let new_excluded: BTreeSet<SocketAddr> =
                    assignment.endpoints.iter().map(|endpoint| endpoint.address).collect();
                changed_lines =
                    changed_lines.max(new_excluded.symmetric_difference(&forwarder.excluded).count());
                if !self.plan.ignore_drains {
                    forwarder.excluded = new_excluded;
                }
                continue;
            }
            let Some(index) =
                self.plan.operations.iter().position(|operation| operation.name == assignment.cluster)
            else {
                continue;
            };
            let table = &mut forwarder.tables[index];
            if let Some(collection) = collection {
                table.admitted = assignment.admitted;
                self.use_collection(id, conn, stream, index, &collection)?;
                continue;
            }
            let new_received: BTreeMap<SocketAddr, (u64, Health)> = assignment
                .endpoints
                .iter()
                .map(|endpoint| (endpoint.address, (endpoint.weight.to_bits(), endpoint.health)))
                .collect();
            let differs = |address: &&SocketAddr| new_received.get(*address) != table.received.get(*address);
            let addresses: BTreeSet<&SocketAddr> = new_received.keys().chain(table.received.keys()).collect();
            changed_lines = changed_lines.max(addresses.iter().filter(|address| differs(address)).count());
            table.received = new_received;
            let credits: BTreeMap<SocketAddr, f64> =
                table.lines.iter().map(|line| (line.address, line.credit)).collect();
            let ready = assignment.endpoints.iter().filter(|endpoint| endpoint.health == Health::Ready);
            let mut lines: Vec<Line> = ready
                .map(|endpoint| Line {
                    address: endpoint.address,
                    weight: endpoint.weight,
                    credit: credits.get(&endpoint.address).copied().unwrap_or(0.0),
                })
                .collect();
            if self.plan.ignore_drains {
                let kept = table.lines.iter().filter(|old| {
                    !assignment.endpoints.iter().any(|endpoint| endpoint.address == old.address)
                });
                lines.extend(kept.cloned());
            }
            table.lines = lines;
            table.admitted = assignment.admitted;
        }
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return Ok(()) };
        let (_, ordered_at) = update.stamp().unwrap_or_default();
        let supervisor = forwarder.supervisor_index as u32;
        let (changed_lines, epoch, bytes) = (changed_lines as u32, forwarder.epoch, bytes as u32);
        self.trace.write(&TraceEvent::UpdateReceived {
            at: now(),
            forwarder: id,
            supervisor,
            changed_lines,
            ordered_at,
            epoch,
            bytes,
        });
        self.close_unused(id);
        Ok(())
    }

    /// Closes connections to servers that are in no table any more and have no open attempt.
    fn close_unused(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        let used: BTreeSet<SocketAddr> =
            forwarder.tables.iter().flat_map(|table| table.lines.iter().map(|line| line.address)).collect();
        let is_unused = |address: &SocketAddr| {
            !used.contains(address) && forwarder.open_attempts.get(address).copied().unwrap_or(0) == 0
        };
        let unused: Vec<SocketAddr> =
            forwarder.server_connections.keys().filter(|address| is_unused(address)).copied().collect();
        for address in unused {
            if let Some(conn) = forwarder.server_connections.remove(&address) {
                self.server_connections.remove(&conn);
                self.hub.close(conn);
            }
        }
    }

    /// Traces operations that begin or cease to lack a usable line.
    fn trace_missing_lines(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        for operation in 0..forwarder.tables.len() {
            let lacks_line = forwarder.usable_lines(operation).next().is_none();
            if lacks_line != std::mem::replace(&mut forwarder.tables[operation].lacks_line, lacks_line) {
                self.trace.write(&TraceEvent::LacksLine {
                    at: now(),
                    forwarder: id,
                    operation: operation as u16,
                    on: lacks_line,
                });
            }
        }
    }

    /// Sends a load report and sets the timer for the next one.
    fn send_report(&mut self, id: u32, generation: u64) {
        let Some(forwarder) =
            self.forwarders.get_mut(&id).filter(|forwarder| forwarder.report_generation == generation)
        else {
            return;
        };
        self.hub.set_timer(now() + forwarder.report_interval, Timer::Report(id, generation));
        let Some((conn, _, load_reports)) = forwarder.supervisor_link.filter(|_| !forwarder.stalled) else {
            return;
        };
        let interval = now().saturating_sub(std::mem::replace(&mut forwarder.reported_at, now()));
        let mut clusters = Vec::new();
        for (operation, stats) in self.plan.operations.iter().zip(&mut forwarder.stats) {
            let stats = std::mem::take(stats);
            let mut endpoints: Vec<EndpointLoad> = stats
                .servers
                .into_iter()
                .map(|(address, server)| EndpointLoad {
                    address,
                    zone: self.server_zones.get(&address).cloned().unwrap_or_default(),
                    successes: server.succeeded,
                    failures: server.failed,
                    timed_responses: server.timed_responses,
                    response_time_sum: server.response_time_sum,
                    metrics: server.cpu.map(|cpu| ("cpu".to_owned(), cpu)).into_iter().collect(),
                })
                .collect();
            if self.reports_unknown_server {
                // An address at which no server ever was.
                let address = SocketAddr::from(([127, 9, 9, 9], 9));
                let zone = forwarder.plan.zone.clone();
                let (timed_responses, response_time_sum, metrics) = (0, 0, BTreeMap::new());
                endpoints.push(EndpointLoad {
                    address,
                    zone,
                    successes: 0,
                    failures: UNKNOWN_SERVER_FAILURES,
                    timed_responses,
                    response_time_sum,
                    metrics,
                });
            }
            clusters.push(ClusterLoad {
                cluster: operation.name.clone(),
                interval,
                issued: endpoints.iter().map(|load| load.successes + load.failures).sum(),
                failures: endpoints.iter().map(|load| load.failures).sum(),
                dropped: stats.dropped,
                endpoints,
            });
        }
        let message = LoadReport { node: None, clusters }.encode();
        if self.report_delay > 0 {
            self.hub.set_timer(now() + self.report_delay, Timer::DelayedReport(id, conn, message));
        } else {
            self.hub.send(conn, load_reports, &message);
        }
    }

    /// Routes an invocation of a caller, or rejects it.
    fn handle_invocation(&mut self, id: u32, caller: (ConnId, StreamId), invocation: Invocation) {
        let index = invocation.operation as usize;
        let Some(operation) = self.plan.operations.get(index) else {
            return self.hub.finish(
                caller.0,
                caller.1,
                Status::new(Code::Unimplemented, "no such operation"),
            );
        };
        let deadline = now() + operation.integration_timeout;
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if self.random.rand_float() >= forwarder.tables[index].admitted {
            forwarder.stats[index].dropped += 1;
            let status = Status::new(Code::ResourceExhausted, "rate-limited by the operation's level");
            return self.hub.finish(caller.0, caller.1, status);
        }
        // An invocation with a key goes to the owner of its range while the route is leased; otherwise it is rejected.
        let by_key = self.plan.keyed_operation == Some(index);
        let range =
            (invocation.number.wrapping_mul(KEY_HASH_MULTIPLIER) >> 32) as u32 % forwarder.range_count.max(1);
        let route = forwarder.lease_client.route(now(), range).filter(|_| by_key);
        let owner = route.and_then(|route| forwarder.owner_addresses.get(&route.owner).copied());
        let server = if by_key { owner } else { self.pick_server(id, index, None) };
        let Some(server) = server else {
            if let Some(forwarder) = self.forwarders.get_mut(&id) {
                forwarder.stats[index].dropped += 1;
            }
            return self.hub.finish(caller.0, caller.1, Status::new(Code::NotFound, "no line to pick"));
        };
        self.last_id += 1;
        let pending = PendingInvocation {
            forwarder: id,
            caller,
            invocation: Invocation {
                forwarder: id,
                forwarder_attempt: 0,
                range,
                epoch: route.map_or(0, |route| route.epoch),
                ..invocation
            },
            deadline,
            server,
            attempt_started_at: now(),
            call: None,
            timer: None,
            retry_policy: RetryPolicy::Never,
            response: None,
        };
        self.pending.insert(self.last_id, pending);
        self.pending_by_caller_call.insert(caller, self.last_id);
        self.start_attempt(self.last_id);
    }

    /// Chooses a server by the weights of an operation's lines. Ejected servers are used only if all are ejected.
    fn pick_server(&mut self, id: u32, operation: usize, except: Option<SocketAddr>) -> Option<SocketAddr> {
        let time = now();
        let load_balancing = self.plan.load_balancing;
        let forwarder = self.forwarders.get_mut(&id)?;
        forwarder.ejected_until.retain(|_, until| *until > time);
        let lines: Vec<Line> =
            forwarder.usable_lines(operation).filter(|line| Some(line.address) != except).cloned().collect();
        let healthy: Vec<&Line> =
            lines.iter().filter(|line| !forwarder.ejected_until.contains_key(&line.address)).collect();
        let candidates: Vec<&Line> = if healthy.is_empty() { lines.iter().collect() } else { healthy };
        let total: f64 = candidates.iter().map(|line| line.weight).sum();
        let random = &mut self.random;
        let mut draw = || {
            let mut remaining = random.rand_float() * total;
            let drawn = candidates.iter().find(|line| {
                remaining -= line.weight;
                remaining <= 0.0
            });
            drawn.or(candidates.last()).map(|line| line.address)
        };
        match load_balancing {
            LoadBalancing::WeightedRandom => draw(),
            LoadBalancing::TwoChoices => {
                let (first, second) = (draw()?, draw()?);
                let open = |address| forwarder.open_attempts.get(&address).copied().unwrap_or(0);
                Some(if open(second) < open(first) { second } else { first })
            }
            LoadBalancing::WeightedRoundRobin => {
                let candidate_addresses: BTreeSet<SocketAddr> =
                    candidates.iter().map(|line| line.address).collect();
                let mut best: Option<&mut Line> = None;
                for line in forwarder.tables[operation]
                    .lines
                    .iter_mut()
                    .filter(|line| candidate_addresses.contains(&line.address))
                {
                    line.credit += line.weight;
                    if best.as_ref().is_none_or(|best| line.credit > best.credit) {
                        best = Some(line);
                    }
                }
                best.map(|line| {
                    line.credit -= total;
                    line.address
                })
            }
        }
    }

    /// Sends a pending invocation to its server.
    fn start_attempt(&mut self, pending_id: u64) {
        let Some(pending) = self.pending.get_mut(&pending_id) else { return };
        let (id, address, operation) =
            (pending.forwarder, pending.server, pending.invocation.operation as usize);
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        pending.retry_policy = if pending.invocation.epoch > 0 {
            RetryPolicy::Never
        } else {
            forwarder.retry_policies[operation]
        };
        pending.attempt_started_at = now();
        pending.response = None;
        *forwarder.open_attempts.entry(address).or_default() += 1;
        let retries = pending.invocation.forwarder_attempt;
        let may_retry = match pending.retry_policy {
            RetryPolicy::Once => retries < 1,
            RetryPolicy::Twice => retries < 2,
            _ => false,
        };
        let objective = self.plan.operations[operation].latency_objective as f64;
        let attempt_timeout = (objective * self.plan.attempt_timeout_factor) as Nanos;
        let attempt_deadline =
            if may_retry { pending.deadline.min(now() + attempt_timeout) } else { pending.deadline };
        let server = self.server_numbers.get(&address).copied().unwrap_or(u32::MAX);
        let (invocation, forwarder_attempt) =
            (pending.invocation.number, pending.invocation.forwarder_attempt);
        self.trace.write(&TraceEvent::AttemptStarted {
            at: now(),
            forwarder: id,
            server,
            invocation,
            forwarder_attempt,
        });
        pending.timer = Some(self.hub.set_timer(attempt_deadline, Timer::AttemptTimeout(pending_id)));
        // Nothing passes between isolated zones: the attempt ends by its timeout.
        let isolated = self.server_zones.get(&address).is_some_and(|zone| {
            *zone != forwarder.plan.zone
                && (self.isolated_zones.contains(zone) || self.isolated_zones.contains(&forwarder.plan.zone))
        });
        if isolated {
            return;
        }
        let conn = match forwarder.server_connections.get(&address) {
            Some(&conn) => Some(conn),
            None => self.hub.dial(address).ok(),
        };
        let call = conn.and_then(|conn| {
            forwarder.server_connections.insert(address, conn);
            self.server_connections.insert(conn, (id, address));
            let timeout = Some(attempt_deadline.saturating_sub(now()));
            Some((conn, self.hub.call(conn, &path(&self.plan.operations[operation].name), timeout)?))
        });
        let Some((conn, stream)) = call else {
            forwarder.server_connections.remove(&address);
            return self
                .finish_attempt(pending_id, Err((Status::new(Code::Unavailable, "no connection"), true)));
        };
        self.hub.send(conn, stream, &pending.invocation.encode_to_vec());
        self.hub.finish(conn, stream, Status::OK);
        pending.call = Some((conn, stream));
        self.pending_by_server_call.insert((conn, stream), pending_id);
    }

    /// Handles the end of a call from a caller, to a server or to a supervisor.
    fn handle_call_end(&mut self, conn: ConnId, stream: StreamId, status: &Status) {
        if let Some(&id) = self.supervisor_connections.get(&conn) {
            return self.disconnect(id);
        }
        self.responding_connections.insert(conn);
        if let Some(pending_id) = self.pending_by_server_call.remove(&(conn, stream)) {
            let result = match status.code {
                Code::Ok => Ok(()),
                // A full queue and a draining server reject an invocation before it is executed.
                Code::ResourceExhausted => Err((status.clone(), true)),
                _ => Err((status.clone(), false)),
            };
            return self.finish_attempt(pending_id, result);
        }
        self.caller_calls.remove(&(conn, stream));
        // The caller has cancelled the invocation.
        if let Some(pending_id) = self.pending_by_caller_call.remove(&(conn, stream)) {
            if let Some(pending) = self.pending.remove(&pending_id) {
                self.release_attempt(&pending);
                if let Some((conn, stream)) = pending.call {
                    self.hub.cancel(conn, stream);
                    self.pending_by_server_call.remove(&(conn, stream));
                }
                self.record_attempt(&pending, false);
            }
        }
    }

    /// Handles the end of a connection.
    fn handle_close(&mut self, conn: ConnId, reason: &str) {
        if let Some(&id) = self.supervisor_connections.get(&conn) {
            return self.disconnect(id);
        }
        if self.faulty_balancers.remove(&conn).is_some() {
            return;
        }
        if let Some((id, address)) = self.server_connections.remove(&conn) {
            if let Some(forwarder) = self.forwarders.get_mut(&id) {
                forwarder.server_connections.remove(&address);
            }
            // A refused connection never existed, so nothing sent on it was executed.
            let not_executed = !self.responding_connections.remove(&conn) && reason.contains("refused");
            let open: Vec<u64> = self
                .pending_by_server_call
                .range((conn, 0)..=(conn, StreamId::MAX))
                .map(|(_, &pending_id)| pending_id)
                .collect();
            self.pending_by_server_call.retain(|(owner, _), _| *owner != conn);
            for pending_id in open {
                self.finish_attempt(pending_id, Err((Status::new(Code::Unavailable, reason), not_executed)));
            }
            return;
        }
        for forwarder in self.forwarders.values_mut() {
            forwarder.caller_connections.remove(&conn);
        }
        let open: Vec<StreamId> = self
            .caller_calls
            .range((conn, 0)..=(conn, StreamId::MAX))
            .map(|((_, stream), _)| *stream)
            .collect();
        for stream in open {
            self.handle_call_end(conn, stream, &Status::new(Code::Cancelled, reason));
        }
    }

    /// Cancels the timer of an attempt and stops counting it as open.
    fn release_attempt(&mut self, pending: &PendingInvocation) {
        if let Some(timer) = pending.timer {
            self.hub.cancel_timer(timer);
        }
        if let Some(forwarder) = self.forwarders.get_mut(&pending.forwarder) {
            if let Some(open) = forwarder.open_attempts.get_mut(&pending.server) {
                *open = open.saturating_sub(1);
            }
        }
    }

    /// Counts an attempt in the load report, and ejects a server that failed too often in a row.
    fn record_attempt(&mut self, pending: &PendingInvocation, succeeded: bool) {
        let Some(forwarder) = self.forwarders.get_mut(&pending.forwarder) else { return };
        let stats =
            forwarder.stats[pending.invocation.operation as usize].servers.entry(pending.server).or_default();
        if succeeded {
            stats.succeeded += 1;
            stats.timed_responses += 1;
            stats.response_time_sum += now().saturating_sub(pending.attempt_started_at);
            stats.cpu = pending.response.as_ref().map(|response| response.cpu).or(stats.cpu);
            forwarder.consecutive_failures.remove(&pending.server);
        } else {
            stats.failed += 1;
            let failures = forwarder.consecutive_failures.entry(pending.server).or_default();
            *failures += 1;
            if self.plan.ejection_failure_threshold > 0 && *failures >= self.plan.ejection_failure_threshold {
                *failures = 0;
                forwarder.ejected_until.insert(pending.server, now() + self.plan.ejection_duration);
            }
        }
    }

    /// Ends an attempt, then retries or answers the caller. An error comes with whether the invocation was provably not
    /// executed.
    fn finish_attempt(&mut self, pending_id: u64, result: Result<(), (Status, bool)>) {
        let Some(mut pending) = self.pending.remove(&pending_id) else { return };
        self.release_attempt(&pending);
        self.record_attempt(&pending, result.is_ok());
        if let Err((_, not_executed)) = &result {
            let retries = pending.invocation.forwarder_attempt;
            let may_retry = match pending.retry_policy {
                RetryPolicy::Never => false,
                RetryPolicy::IfNotExecuted => retries < 1 && *not_executed,
                RetryPolicy::Once => retries < 1,
                RetryPolicy::Twice => retries < 2,
            };
            if may_retry && now() < pending.deadline {
                let (id, operation) = (pending.forwarder, pending.invocation.operation as usize);
                if let Some(server) = self.pick_server(id, operation, Some(pending.server)) {
                    pending.server = server;
                    pending.invocation.forwarder_attempt += 1;
                    pending.call = None;
                    self.pending.insert(pending_id, pending);
                    return self.start_attempt(pending_id);
                }
            }
        }
        let (conn, stream) = pending.caller;
        self.pending_by_caller_call.remove(&pending.caller);
        self.caller_calls.remove(&pending.caller);
        match result {
            Ok(()) => {
                self.hub.send(conn, stream, &pending.response.unwrap_or_default().encode_to_vec());
                self.hub.finish(conn, stream, Status::OK);
            }
            Err((status, _)) => self.hub.finish(conn, stream, status),
        }
    }

    fn sasp_group(balancer: &str, name: &str) -> Group {
        Group { balancer: balancer.into(), name: name.into() }
    }

    /// Runs one tick of the faulty balancers: opens those that have no connection, then lets each act.
    fn run_faulty_balancers(&mut self) {
        if self.fault_tick == 0 {
            return;
        }
        self.fault_tick += 1;
        self.hub.set_timer(now() + FAULT_TICK, Timer::FaultyBalancers);
        let operation = self.plan.operations[0].name.clone();
        let register = |servers: Vec<Member>| {
            let groups = vec![(Self::sasp_group("odd", &operation), servers)];
            Body::Register { from_balancer: true, groups }
        };
        let member_address = |index: u16| SocketAddr::from(([127, 9, (index >> 8) as u8, index as u8], 9));
        for fault in [
            BalancerFault::PollsConstantly,
            BalancerFault::NeverReads,
            BalancerFault::ResetsWithinMessage,
            BalancerFault::DeregistersOthers,
            BalancerFault::FlapsState,
        ] {
            if self.faulty_balancers.values().any(|&running| running == fault)
                || !self.fault_tick.is_multiple_of(FAULT_CONNECT_TICKS)
            {
                continue;
            }
            let supervisor = (self.fault_tick as usize / FAULT_CONNECT_TICKS as usize)
                % self.plan.sasp_supervisors.len().max(1);
            let Some(Ok(conn)) =
                self.plan.sasp_supervisors.get(supervisor).map(|&address| self.hub.dial_plain(address))
            else {
                return;
            };
            self.faulty_balancers.insert(conn, fault);
            let opening = match fault {
                BalancerFault::PollsConstantly => {
                    let flags = LbFlags { push: false, trust: true, no_change: false };
                    let state = Body::SetLbState { balancer: b"odd".to_vec(), health: 0, flags };
                    vec![state, register(vec![Member::tcp(member_address(1))])]
                }
                BalancerFault::NeverReads => {
                    let flags = LbFlags { push: true, trust: false, no_change: false };
                    let balancer = b"odd-large".to_vec();
                    let groups = vec![(
                        Self::sasp_group("odd-large", &operation),
                        (0..LARGE_GROUP_MEMBERS).map(|index| Member::tcp(member_address(index))).collect(),
                    )];
                    vec![
                        Body::SetLbState { balancer, health: 0, flags },
                        Body::Register { from_balancer: true, groups },
                    ]
                }
                BalancerFault::FlapsState => {
                    let groups =
                        vec![(Self::sasp_group("odd", &operation), vec![Member::tcp(member_address(2))])];
                    vec![Body::Register { from_balancer: false, groups }]
                }
                BalancerFault::ResetsWithinMessage | BalancerFault::DeregistersOthers => Vec::new(),
            };
            for body in opening {
                self.hub.write(conn, &Message { id: 1, body }.encode());
            }
        }
        let tick = self.fault_tick;
        for (conn, fault) in self.faulty_balancers.clone() {
            let body = match fault {
                BalancerFault::PollsConstantly => {
                    Body::GetWeights { groups: vec![Self::sasp_group("odd", &operation)] }
                }
                BalancerFault::NeverReads => {
                    self.hub.set_paused(conn, true);
                    continue;
                }
                BalancerFault::ResetsWithinMessage => {
                    // Half a message, then a reset.
                    if tick.is_multiple_of(FAULT_ACTION_TICKS) {
                        self.hub.write(
                            conn,
                            &Message { id: 1, body: register(Vec::new()) }.encode()[..PARTIAL_MESSAGE_BYTES],
                        );
                    } else if tick % FAULT_ACTION_TICKS == FAULT_ACTION_TICKS / 2 {
                        self.faulty_balancers.remove(&conn);
                        self.hub.reset(conn);
                    }
                    continue;
                }
                BalancerFault::DeregistersOthers => {
                    let groups = vec![(Self::sasp_group("balancer-0", &operation), Vec::new())];
                    Body::Deregister { from_balancer: true, reason: 0, groups }
                }
                BalancerFault::FlapsState => {
                    let (state, contact, quiesce) = (0, true, tick.is_multiple_of(2));
                    let states =
                        vec![MemberState { state, contact, quiesce, member: Member::tcp(member_address(2)) }];
                    let groups = vec![(Self::sasp_group("odd", &operation), states)];
                    Body::SetMemberState { from_balancer: false, groups }
                }
            };
            if fault != BalancerFault::DeregistersOthers || tick.is_multiple_of(FAULT_ACTION_TICKS) {
                self.hub.write(conn, &Message { id: 2, body }.encode());
            }
        }
    }

    /// Crashes a forwarder, which loses its state.
    fn crash(&mut self, id: u32) {
        let Some(forwarder) = self.forwarders.get_mut(&id).filter(|forwarder| forwarder.alive) else {
            return;
        };
        forwarder.alive = false;
        let link = forwarder.supervisor_link.take().map(|link| link.0);
        let conns: Vec<ConnId> = link
            .into_iter()
            .chain(forwarder.server_connections.values().copied())
            .chain(forwarder.caller_connections.iter().copied())
            .collect();
        self.hub.stop_listening(forwarder.listener);
        for conn in conns {
            self.supervisor_connections.remove(&conn);
            self.server_connections.remove(&conn);
            self.hub.reset(conn);
            self.pending_by_server_call.retain(|(owner, _), _| *owner != conn);
            self.pending_by_caller_call.retain(|(owner, _), _| *owner != conn);
            self.caller_calls.retain(|(owner, _), _| *owner != conn);
        }
        let lost: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.forwarder == id)
            .map(|(&pending_id, _)| pending_id)
            .collect();
        for pending_id in lost {
            if let Some(pending) = self.pending.remove(&pending_id) {
                self.release_attempt(&pending);
            }
        }
        self.trace.write(&TraceEvent::ForwarderCrashed { at: now(), forwarder: id });
    }

    /// Stops or resumes reading from all connections of a forwarder.
    fn stall(&mut self, id: u32, on: bool) {
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        forwarder.stalled = on;
        self.trace.write(&TraceEvent::ReadsSupervisor { at: now(), forwarder: id, on: !on });
        let link = forwarder.supervisor_link.map(|link| link.0);
        let conns = link
            .into_iter()
            .chain(forwarder.server_connections.values().copied())
            .chain(forwarder.caller_connections.iter().copied());
        conns.collect::<Vec<_>>().into_iter().for_each(|conn| self.hub.set_paused(conn, on));
        self.hub.set_listener_paused(forwarder.listener, on);
    }

    /// Carries out a command.
    fn handle_command(&mut self, command: Command) {
        match command {
            Command::CrashForwarders { forwarders } => forwarders.into_iter().for_each(|id| self.crash(id)),
            Command::RestartForwarders { forwarders, bootstrap_servers } => {
                for id in forwarders {
                    self.crash(id);
                    let Some(forwarder) = self.forwarders.get(&id) else { continue };
                    let (plan, supervisor) = (forwarder.plan.clone(), forwarder.supervisor_index);
                    match self.hub.listen(plan.address, id) {
                        Ok((listener, _)) => {
                            self.start_forwarder(plan, listener, supervisor, &bootstrap_servers)
                        }
                        Err(error) => eprintln!("forwarder {id} cannot listen again: {error}"),
                    }
                }
            }
            Command::StallForwarders { forwarders, on } => {
                forwarders.into_iter().for_each(|id| self.stall(id, on))
            }
            Command::PauseSupervisorConnection { forwarders, on } => {
                for id in forwarders {
                    self.trace.write(&TraceEvent::ReadsSupervisor { at: now(), forwarder: id, on: !on });
                    let link = self.forwarders.get(&id).and_then(|forwarder| forwarder.supervisor_link);
                    if let Some((conn, ..)) = link {
                        self.hub.set_paused(conn, on);
                    }
                }
            }
            Command::RejectUpdates { forwarders, count } => {
                for id in forwarders {
                    if let Some(forwarder) = self.forwarders.get_mut(&id) {
                        forwarder.updates_to_reject = count;
                    }
                }
            }
            Command::DelayReports { delay } => self.report_delay = delay,
            Command::DisturbUpdates { fraction, delay } => self.update_disturbance = (fraction, delay),
            Command::IsolateZones { zones } => self.isolated_zones = zones,
            Command::RunFaultyBalancers { on } => {
                self.fault_tick = u32::from(on);
                if on {
                    self.hub.set_timer(now(), Timer::FaultyBalancers);
                } else {
                    std::mem::take(&mut self.faulty_balancers)
                        .into_keys()
                        .for_each(|conn| self.hub.reset(conn));
                }
            }
            Command::ReportUnknownServer { on } => self.reports_unknown_server = on,
            other => eprintln!("forwarders do not support the command {other:?}"),
        }
    }
}

/// Decodes an update with lines; returns their table and the delta to apply to it. If the update names no line, the table
/// is `default_table`. An error is the status to send to the supervisor.
fn decode_lines(update: &Update, default_table: Option<u16>) -> Result<(u16, Delta), Status> {
    let invalid = |message: &str| Status::new(Code::InvalidArgument, message.to_owned());
    let version = update.version.split_once('/').map_or(update.version.as_str(), |(_, version)| version);
    let (base, check) = version.split_once('>').ok_or_else(|| invalid("a version without its base"))?;
    let base = base.parse().map_err(|_| invalid("a base that is no number"))?;
    let check = Check::parse(check).ok_or_else(|| invalid("a version without its check"))?;
    let (mut table, mut changed) = (default_table, Vec::new());
    for (name, any) in update.names.iter().zip(&update.resources) {
        let (line_table, server) = leds::line_of(name).ok_or_else(|| invalid("a name that is no line's"))?;
        let line = leds::decode_line(any)?;
        let leds::Line { address, weight, draining } = line;
        changed.push((server, shalereel_store::Line { address, weight, draining, incarnation: 0 }));
        table = Some(line_table);
    }
    let mut removed = Vec::new();
    for name in &update.removed {
        let (line_table, server) = leds::line_of(name).ok_or_else(|| invalid("a name that is no line's"))?;
        removed.push(server);
        table = Some(line_table);
    }
    let table = table.ok_or_else(|| invalid("lines of no table"))?;
    Ok((table, Delta { check, base, changed, removed }))
}
