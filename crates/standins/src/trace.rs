//! Trace of what stand-ins observe: one [`TraceEvent`] a line, as JSON. Times are nanoseconds of the machine's
//! monotonic clock. The serialized names are read by other builds and must not change.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};
use shalereel::interface::Nanos;

/// Size of the buffer in front of a trace file.
const BUFFER_BYTES: usize = 1 << 16;

/// Result of an invocation, as its caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A server answered it.
    Succeeded,
    /// Rejected by an admission limit, a full queue or a draining server; it was not executed.
    RateLimited,
    /// Failed for another reason; it may have been executed.
    Errored,
    /// Not answered within the operation's timeout.
    TimedOut,
    /// The forwarder had no line to send it to.
    NoLine,
}

/// One event in a trace. `at` is the time of the event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "saw", rename_all = "snake_case")]
pub enum TraceEvent {
    /// A server received an invocation. `capacity`: work per nanosecond that the server can do at this time.
    #[serde(rename = "arrived")]
    InvocationArrived {
        at: Nanos,
        server: u32,
        incarnation: u64,
        #[serde(rename = "inv")]
        invocation: u64,
        forwarder: u32,
        #[serde(rename = "further")]
        forwarder_attempt: u32,
        work: Nanos,
        capacity: f64,
        cold: bool,
    },
    /// An invocation took effect at a server.
    #[serde(rename = "effect")]
    EffectApplied {
        at: Nanos,
        server: u32,
        operation: u16,
        #[serde(rename = "inv")]
        invocation: u64,
        #[serde(rename = "attempt")]
        caller_attempt: u32,
        #[serde(rename = "further")]
        forwarder_attempt: u32,
        fingerprint: u64,
        /// Key range of an invocation that was routed by key.
        #[serde(default)]
        range: u32,
        /// Epoch of the route that an invocation was sent by; 0 if it was routed by weight.
        #[serde(default)]
        epoch: u64,
    },
    /// A cold server crashed under too much work.
    #[serde(rename = "fell")]
    ServerOverloaded { at: Nanos, server: u32 },
    /// A forwarder's stream to a supervisor is established.
    #[serde(rename = "joined")]
    SupervisorConnected { at: Nanos, forwarder: u32, supervisor: u32 },
    /// A forwarder lost its stream to a supervisor.
    #[serde(rename = "left")]
    SupervisorDisconnected { at: Nanos, forwarder: u32 },
    /// A forwarder crashed and lost its state.
    #[serde(rename = "died")]
    ForwarderCrashed { at: Nanos, forwarder: u32 },
    /// A forwarder starts (`on`) or stops reading from its supervisor.
    #[serde(rename = "reachable")]
    ReadsSupervisor { at: Nanos, forwarder: u32, on: bool },
    /// A forwarder begins (`on`) or ceases to lack a line for an operation.
    #[serde(rename = "bare")]
    LacksLine { at: Nanos, forwarder: u32, operation: u16, on: bool },
    /// A forwarder received an update of its tables.
    #[serde(rename = "told")]
    UpdateReceived {
        at: Nanos,
        forwarder: u32,
        supervisor: u32,
        /// Number of lines that changed; the largest number of one table.
        #[serde(rename = "lines")]
        changed_lines: u32,
        /// Time at which the supervisor ordered the update, from its stamp.
        #[serde(rename = "ordered")]
        ordered_at: Nanos,
        /// Epoch that the tables carry; 0 if they carry none.
        #[serde(default)]
        epoch: u64,
        /// Size of the message; 0 for the repeated or delayed delivery of an update.
        #[serde(default)]
        bytes: u32,
    },
    /// An update to a forwarder was lost, delivered twice or delayed.
    #[serde(rename = "disturbed")]
    UpdateDisturbed { at: Nanos, forwarder: u32 },
    /// A forwarder requested a table again, because a check did not match or a part was missing.
    #[serde(rename = "asked_anew")]
    ResyncRequested { at: Nanos, forwarder: u32 },
    /// A forwarder started an attempt at a server.
    #[serde(rename = "tried")]
    AttemptStarted {
        at: Nanos,
        forwarder: u32,
        server: u32,
        #[serde(rename = "inv")]
        invocation: u64,
        #[serde(rename = "further")]
        forwarder_attempt: u32,
    },
    /// A caller finished an invocation.
    #[serde(rename = "done")]
    InvocationFinished {
        #[serde(rename = "asked")]
        started_at: Nanos,
        at: Nanos,
        operation: u16,
        #[serde(rename = "inv")]
        invocation: u64,
        /// Number of the caller's attempts.
        #[serde(rename = "tries")]
        attempts: u32,
        outcome: Outcome,
    },
    /// The registry sent a version of its entries to a supervisor.
    #[serde(rename = "said")]
    EntriesSent {
        at: Nanos,
        /// Node id of the supervisor.
        to: String,
        version: u64,
        /// Ready servers: number, incarnation and start time.
        ready: Vec<(u32, u64, Nanos)>,
        draining: Vec<u32>,
        /// Servers that are gone or wrongly omitted.
        gone: Vec<u32>,
    },
    /// A supervisor acknowledged a version of the registry's entries.
    #[serde(rename = "acknowledged")]
    EntriesAcknowledged {
        at: Nanos,
        /// Node id of the supervisor.
        to: String,
        version: u64,
    },
}

/// Writes a trace to a file. Events that cannot be written are lost, with a message on standard error.
pub(crate) struct TraceWriter {
    output: BufWriter<File>,
}

impl TraceWriter {
    /// Creates the file, or truncates it.
    pub(crate) fn new(path: &Path) -> Result<Self> {
        let file = File::create(path).with_context(|| format!("creating trace {}", path.display()))?;
        Ok(TraceWriter { output: BufWriter::with_capacity(BUFFER_BYTES, file) })
    }

    /// Appends one event.
    pub(crate) fn write(&mut self, event: &TraceEvent) {
        let written =
            serde_json::to_writer(&mut self.output, event).is_ok() && self.output.write_all(b"\n").is_ok();
        if !written {
            eprintln!("failed to write a trace event");
        }
    }

    /// Writes out what is buffered and returns an error if that fails.
    pub(crate) fn finish(mut self) -> Result<()> {
        Ok(self.output.flush()?)
    }
}

/// Reads all events of a trace. An error names the file and the line.
pub fn read_trace(path: &Path) -> Result<Vec<TraceEvent>> {
    let file = File::open(path).with_context(|| format!("opening trace {}", path.display()))?;
    let mut events = Vec::new();
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let parsed = serde_json::from_str(&line?);
        events.push(parsed.with_context(|| format!("{}:{}", path.display(), index + 1))?);
    }
    Ok(events)
}
