//! Stand-ins for callers: invocations arrive in an open loop, which does not wait for responses. Callers have
//! timeouts and retry failed invocations where that is safe.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::Result;
use oorandom::Rand64;
use prost::Message;
use shalereel::interface::Nanos;
use shalereel_reactor::{now, TimerId, SECOND};
use shalereel_rpc::{Code, ConnId, Hub, Input, Status, StreamId};

use crate::plan::{CallersPlan, Command, EffectKind, Ready};
use crate::trace::{Outcome, TraceEvent, TraceWriter};
use crate::work::{path, Invocation};
use crate::{read_plan, write_ready, CONNECTION_LIMITS};

/// Lowest rate of arrivals, in invocations per second, so that the time of the next one is finite.
const MIN_RATE: f64 = 1e-3;

/// What a timer is for.
enum Timer {
    /// The next invocation arrives.
    Arrival,
    /// The delay before the retry of an invocation is over.
    Retry(u64),
    /// An invocation has reached its timeout.
    Timeout(u64),
}

/// An invocation that is not finished.
struct PendingInvocation {
    invocation: Invocation,
    /// Index of the forwarder that it is sent to.
    forwarder: usize,
    started_at: Nanos,
    /// The call of the current attempt; none between attempts.
    call: Option<(ConnId, StreamId)>,
    timer: TimerId,
}

/// All callers of the process.
struct Callers {
    hub: Hub<(), Timer>,
    plan: CallersPlan,
    /// Connections by address of the forwarder.
    connections: BTreeMap<SocketAddr, ConnId>,
    /// Pending invocations by number.
    pending: BTreeMap<u64, PendingInvocation>,
    pending_by_call: BTreeMap<(ConnId, StreamId), u64>,
    rate_factor: f64,
    next_arrival: Nanos,
    /// Number of the latest invocation.
    last_number: u64,
    random: Rand64,
    trace: TraceWriter,
    /// Whether no more invocations start.
    stopping: bool,
}

/// Runs the role `callers`.
pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(CONNECTION_LIMITS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (CallersPlan, _) = read_plan(&mut hub)?;
    write_ready(&Ready { addresses: Vec::new() })?;
    let start = now();
    hub.set_timer(start, Timer::Arrival);
    let mut callers = Callers {
        trace: TraceWriter::new(&plan.trace_path)?,
        random: Rand64::new(plan.seed.into()),
        hub,
        plan,
        connections: BTreeMap::new(),
        pending: BTreeMap::new(),
        pending_by_call: BTreeMap::new(),
        rate_factor: 1.0,
        next_arrival: start,
        last_number: 0,
        stopping: false,
    };
    let mut inputs = rest;
    loop {
        for input in inputs {
            if !callers.handle_input(input)? {
                return callers.trace.finish();
            }
        }
        if callers.stopping && callers.pending.is_empty() {
            return callers.trace.finish();
        }
        inputs = callers.hub.wait(None)?;
    }
}

impl Callers {
    /// Handles one input; returns whether the process goes on.
    fn handle_input(&mut self, input: Input<(), Timer>) -> Result<bool> {
        match input {
            Input::Timer(Timer::Arrival) => self.start_due_invocations(),
            Input::Timer(Timer::Retry(number)) => self.start_attempt(number),
            Input::Timer(Timer::Timeout(number)) => {
                if let Some((conn, stream)) =
                    self.pending.get_mut(&number).and_then(|pending| pending.call.take())
                {
                    self.hub.cancel(conn, stream);
                    self.pending_by_call.remove(&(conn, stream));
                }
                self.finish_invocation(number, Outcome::TimedOut);
            }
            Input::Ended { conn, stream, status } => {
                if let Some(number) = self.pending_by_call.remove(&(conn, stream)) {
                    self.finish_attempt(number, &status);
                }
            }
            Input::Closed { conn, reason } => {
                self.connections.retain(|_, owner| *owner != conn);
                let open: Vec<u64> = self
                    .pending_by_call
                    .range((conn, 0)..=(conn, StreamId::MAX))
                    .map(|(_, &number)| number)
                    .collect();
                self.pending_by_call.retain(|(owner, _), _| *owner != conn);
                for number in open {
                    self.finish_attempt(number, &Status::new(Code::Unavailable, reason.to_string()));
                }
            }
            Input::Line(line) => self.handle_command(&line)?,
            Input::EndOfLines | Input::Stop => return Ok(false),
            _ => {}
        }
        Ok(true)
    }

    /// Carries out a command.
    fn handle_command(&mut self, line: &str) -> Result<()> {
        match serde_json::from_str(line)? {
            Command::ScaleRate { factor } => self.rate_factor = factor,
            Command::StopCallers => self.stopping = true,
            other => eprintln!("callers do not support the command {other:?}"),
        }
        Ok(())
    }

    /// Random value of the exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.rand_float()).ln()
    }

    /// Starts all invocations that are due. Those that this process is late for are started at once, not skipped.
    fn start_due_invocations(&mut self) {
        let time = now();
        while self.next_arrival <= time && !self.stopping {
            let rate = (self.plan.rate * self.rate_factor).max(MIN_RATE);
            self.next_arrival += (self.exponential() / rate * SECOND as f64) as Nanos;
            self.start_invocation(time);
        }
        if !self.stopping {
            self.hub.set_timer(self.next_arrival, Timer::Arrival);
        }
    }

    /// Random index, chosen in proportion to the weights.
    fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.random.rand_float() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        });
        found.unwrap_or(weights.len().saturating_sub(1))
    }

    /// Starts a random invocation at a random forwarder.
    fn start_invocation(&mut self, time: Nanos) {
        let shares: Vec<f64> = self.plan.operations.iter().map(|operation| operation.share).collect();
        let forwarder_rates: Vec<f64> = self.plan.forwarders.iter().map(|forwarder| forwarder.1).collect();
        let (operation, forwarder) = (self.weighted_index(&shares), self.weighted_index(&forwarder_rates));
        let plan = &self.plan.operations[operation];
        let (effect, mean, timeout) = (plan.effect, plan.mean_work as f64, plan.integration_timeout);
        // Half the mean plus an exponential part: no work is tiny, and a few are large.
        let work = (mean * (0.5 + 0.5 * self.exponential())) as Nanos;
        self.last_number += 1;
        let invocation = Invocation {
            number: self.last_number,
            fingerprint: if effect == EffectKind::Fingerprinted { self.last_number } else { 0 },
            work,
            operation: operation as u32,
            ..Invocation::default()
        };
        let timer = self.hub.set_timer(time + timeout, Timer::Timeout(self.last_number));
        self.pending.insert(
            self.last_number,
            PendingInvocation { invocation, forwarder, started_at: time, call: None, timer },
        );
        self.start_attempt(self.last_number);
    }

    /// Sends a pending invocation to its forwarder.
    fn start_attempt(&mut self, number: u64) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        let address = self.plan.forwarders[pending.forwarder].0;
        let operation = &self.plan.operations[pending.invocation.operation as usize];
        let conn = match self.connections.get(&address) {
            Some(&conn) => Some(conn),
            None => self.hub.dial(address).ok(),
        };
        let call = conn.and_then(|conn| {
            self.connections.insert(address, conn);
            let timeout = (pending.started_at + operation.integration_timeout).saturating_sub(now());
            Some((conn, self.hub.call(conn, &path(&operation.name), Some(timeout))?))
        });
        let Some((conn, stream)) = call else {
            self.connections.remove(&address);
            return self.finish_attempt(number, &Status::new(Code::Unavailable, "no connection"));
        };
        self.hub.send(conn, stream, &pending.invocation.encode_to_vec());
        self.hub.finish(conn, stream, Status::OK);
        pending.call = Some((conn, stream));
        self.pending_by_call.insert((conn, stream), number);
    }

    /// Handles the status of an attempt: finishes the invocation or schedules a retry.
    fn finish_attempt(&mut self, number: u64, status: &Status) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        pending.call = None;
        let outcome = match status.code {
            Code::Ok => return self.finish_invocation(number, Outcome::Succeeded),
            Code::ResourceExhausted => Outcome::RateLimited,
            Code::NotFound => Outcome::NoLine,
            Code::DeadlineExceeded => Outcome::TimedOut,
            _ => Outcome::Errored,
        };
        let operation = &self.plan.operations[pending.invocation.operation as usize];
        let retry_safe = match operation.effect {
            EffectKind::Idempotent => true,
            EffectKind::Fingerprinted => now() < pending.started_at + operation.deduplication_window,
            EffectKind::SideEffecting => matches!(outcome, Outcome::RateLimited | Outcome::NoLine),
        };
        if !retry_safe || pending.invocation.caller_attempt >= self.plan.max_retries {
            return self.finish_invocation(number, outcome);
        }
        pending.invocation.caller_attempt += 1;
        self.hub.set_timer(now() + self.plan.retry_delay, Timer::Retry(number));
    }

    /// Writes the outcome of an invocation to the trace.
    fn finish_invocation(&mut self, number: u64, outcome: Outcome) {
        let Some(pending) = self.pending.remove(&number) else { return };
        self.hub.cancel_timer(pending.timer);
        self.trace.write(&TraceEvent::InvocationFinished {
            started_at: pending.started_at,
            at: now(),
            operation: pending.invocation.operation as u16,
            invocation: pending.invocation.number,
            attempts: pending.invocation.caller_attempt + 1,
            outcome,
        });
    }
}
