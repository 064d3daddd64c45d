//! Callers: open-loop arrivals that wait for nobody, with objectives, timeouts and their own retries.

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
use crate::{read_plan, say_ready, BOUNDS};

enum Key {
    Arrive,
    Again(u64),
    Late(u64),
}

struct Asked {
    inv: Invocation,
    forwarder: usize,
    asked: Nanos,
    call: Option<(ConnId, StreamId)>,
    timer: TimerId,
}

struct Callers {
    hub: Hub<(), Key>,
    plan: CallersPlan,
    conns: BTreeMap<SocketAddr, ConnId>,
    asked: BTreeMap<u64, Asked>,
    by_call: BTreeMap<(ConnId, StreamId), u64>,
    factor: f64,
    next: Nanos,
    last: u64,
    chance: Rand64,
    trace: TraceWriter,
    quits: bool,
}

pub(crate) fn run() -> Result<()> {
    let mut hub = Hub::new(BOUNDS)?;
    hub.stop_on_signals()?;
    let (plan, rest): (CallersPlan, _) = read_plan(&mut hub)?;
    say_ready(&Ready { addresses: Vec::new() })?;
    let start = now();
    hub.set_timer(start, Key::Arrive);
    let mut callers = Callers {
        trace: TraceWriter::new(&plan.trace_path)?,
        chance: Rand64::new(plan.seed.into()),
        hub,
        plan,
        conns: BTreeMap::new(),
        asked: BTreeMap::new(),
        by_call: BTreeMap::new(),
        factor: 1.0,
        next: start,
        last: 0,
        quits: false,
    };
    let mut inputs = rest;
    loop {
        for input in inputs {
            if !callers.take(input)? {
                return callers.trace.finish();
            }
        }
        if callers.quits && callers.asked.is_empty() {
            return callers.trace.finish();
        }
        inputs = callers.hub.wait(None)?;
    }
}

impl Callers {
    fn take(&mut self, input: Input<(), Key>) -> Result<bool> {
        match input {
            Input::Timer(Key::Arrive) => self.arrive(),
            Input::Timer(Key::Again(number)) => self.attempt(number),
            Input::Timer(Key::Late(number)) => {
                if let Some((conn, stream)) = self.asked.get_mut(&number).and_then(|asked| asked.call.take())
                {
                    self.hub.cancel(conn, stream);
                    self.by_call.remove(&(conn, stream));
                }
                self.over(number, Outcome::TimedOut);
            }
            Input::Ended { conn, stream, status } => {
                if let Some(number) = self.by_call.remove(&(conn, stream)) {
                    self.answered(number, &status);
                }
            }
            Input::Closed { conn, reason } => {
                self.conns.retain(|_, of| *of != conn);
                let open: Vec<u64> = self
                    .by_call
                    .range((conn, 0)..=(conn, StreamId::MAX))
                    .map(|(_, &number)| number)
                    .collect();
                self.by_call.retain(|(of, _), _| *of != conn);
                for number in open {
                    self.answered(number, &Status::new(Code::Unavailable, reason.to_string()));
                }
            }
            Input::Line(line) => self.command(&line)?,
            Input::EndOfLines | Input::Stop => return Ok(false),
            _ => {}
        }
        Ok(true)
    }

    fn command(&mut self, line: &str) -> Result<()> {
        match serde_json::from_str(line)? {
            Command::ScaleRate { factor } => self.factor = factor,
            Command::StopCallers => self.quits = true,
            other => eprintln!("callers cannot {other:?}"),
        }
        Ok(())
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.chance.rand_float()).ln()
    }

    /// All that is due by now; the clock of arrivals does not wait for this process.
    fn arrive(&mut self) {
        let time = now();
        while self.next <= time && !self.quits {
            let rate = (self.plan.rate * self.factor).max(1e-3);
            self.next += (self.exponential() / rate * SECOND as f64) as Nanos;
            self.ask(time);
        }
        if !self.quits {
            self.hub.set_timer(self.next, Key::Arrive);
        }
    }

    fn drawn(&mut self, weights: &[f64]) -> usize {
        let mut left = self.chance.rand_float() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            left -= weight;
            left <= 0.0
        });
        found.unwrap_or(weights.len().saturating_sub(1))
    }

    fn ask(&mut self, time: Nanos) {
        let shares: Vec<f64> = self.plan.operations.iter().map(|operation| operation.share).collect();
        let rates: Vec<f64> = self.plan.forwarders.iter().map(|forwarder| forwarder.1).collect();
        let (operation, forwarder) = (self.drawn(&shares), self.drawn(&rates));
        let told = &self.plan.operations[operation];
        let (effect, mean, timeout) = (told.effect, told.mean_work as f64, told.integration_timeout);
        // Works spread from half the mean up, with a tail.
        let work = (mean * (0.5 + 0.5 * self.exponential())) as Nanos;
        self.last += 1;
        let inv = Invocation {
            inv: self.last,
            fingerprint: if effect == EffectKind::Fingerprinted { self.last } else { 0 },
            work,
            operation: operation as u32,
            ..Invocation::default()
        };
        let timer = self.hub.set_timer(time + timeout, Key::Late(self.last));
        self.asked.insert(self.last, Asked { inv, forwarder, asked: time, call: None, timer });
        self.attempt(self.last);
    }

    fn attempt(&mut self, number: u64) {
        let Some(asked) = self.asked.get_mut(&number) else { return };
        let address = self.plan.forwarders[asked.forwarder].0;
        let operation = &self.plan.operations[asked.inv.operation as usize];
        let conn = match self.conns.get(&address) {
            Some(&conn) => Some(conn),
            None => self.hub.dial(address).ok(),
        };
        let call = conn.and_then(|conn| {
            self.conns.insert(address, conn);
            let left = (asked.asked + operation.integration_timeout).saturating_sub(now());
            Some((conn, self.hub.call(conn, &path(&operation.name), Some(left))?))
        });
        let Some((conn, stream)) = call else {
            self.conns.remove(&address);
            return self.answered(number, &Status::new(Code::Unavailable, "no connection"));
        };
        self.hub.send(conn, stream, &asked.inv.encode_to_vec());
        self.hub.finish(conn, stream, Status::OK);
        asked.call = Some((conn, stream));
        self.by_call.insert((conn, stream), number);
    }

    fn answered(&mut self, number: u64, status: &Status) {
        let Some(asked) = self.asked.get_mut(&number) else { return };
        asked.call = None;
        let outcome = match status.code {
            Code::Ok => return self.over(number, Outcome::Succeeded),
            Code::ResourceExhausted => Outcome::RateLimited,
            Code::NotFound => Outcome::NoLine,
            Code::DeadlineExceeded => Outcome::TimedOut,
            _ => Outcome::Errored,
        };
        let operation = &self.plan.operations[asked.inv.operation as usize];
        let safe = match operation.effect {
            EffectKind::Idempotent => true,
            EffectKind::Fingerprinted => now() < asked.asked + operation.deduplication_window,
            EffectKind::SideEffecting => matches!(outcome, Outcome::RateLimited | Outcome::NoLine),
        };
        if !safe || asked.inv.attempt >= self.plan.max_retries {
            return self.over(number, outcome);
        }
        asked.inv.attempt += 1;
        self.hub.set_timer(now() + self.plan.retry_delay, Key::Again(number));
    }

    fn over(&mut self, number: u64, outcome: Outcome) {
        let Some(asked) = self.asked.remove(&number) else { return };
        self.hub.cancel_timer(asked.timer);
        self.trace.write(&TraceEvent::InvocationFinished {
            started_at: asked.asked,
            at: now(),
            operation: asked.inv.operation as u16,
            invocation: asked.inv.inv,
            attempts: asked.inv.attempt + 1,
            outcome,
        });
    }
}
