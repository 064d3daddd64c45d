//! Stand-ins: processes that play the environment of supervisors in fault tests, that is servers, forwarders, callers,
//! the registry and the links between supervisors. A process plays all stand-ins of one role. It reads a plan and then
//! commands from standard input, writes a line to standard output when it is ready, and writes what it observes to a
//! trace file.

mod callers;
mod forwarders;
mod links;
mod plan;
mod registry;
mod servers;
mod trace;
mod work;

pub use plan::{
    CallersPlan, Command, DeduplicationScope, EffectKind, ForwarderPlan, ForwardersPlan, LinksPlan,
    LoadBalancing, OperationPlan, Ready, RegistryEntry, RegistryPlan, RegistryState, ServerKind, ServerPlan,
    ServersPlan,
};
pub use trace::{read_trace, Outcome, TraceEvent};

use std::io::Write;

use anyhow::{bail, Context, Result};
use serde::de::DeserializeOwned;
use shalereel_reactor::{Nanos, SECOND};
use shalereel_rpc::{ConnectionLimits, Hub, Input};

/// Limits of each connection of a stand-in.
const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_message_bytes: 4 << 20,
    max_concurrent_calls: 10_000,
    max_unsent_bytes: 16 << 20,
    max_held_bytes: usize::MAX,
    max_bytes_per_wait: usize::MAX,
    message_timeout: Nanos::MAX / 2,
    user_timeout: 20 * SECOND,
    retry_delay: SECOND / 20,
};

/// Runs a role until standard input ends or a signal arrives; callers also end when a command stops them.
/// Returns an error for an unknown role, an invalid plan or command, and failures to listen or to write the trace.
pub fn run(role: &str) -> Result<()> {
    match role {
        "servers" => servers::run(),
        "forwarders" => forwarders::run(),
        "callers" => callers::run(),
        "registry" => registry::run(),
        "links" => links::run(),
        other => {
            bail!("unknown role {other:?}; the roles are servers, forwarders, callers, registry and links")
        }
    }
}

/// Reads the plan from the first line of standard input. Also returns the inputs that arrived with it.
fn read_plan<P: DeserializeOwned, L: Clone, K>(hub: &mut Hub<L, K>) -> Result<(P, Vec<Input<L, K>>)> {
    hub.read_lines()?;
    loop {
        let mut inputs = hub.wait(None)?.into_iter();
        while let Some(input) = inputs.next() {
            match input {
                Input::Line(line) => {
                    let plan = serde_json::from_str(&line).context("invalid plan")?;
                    return Ok((plan, inputs.collect()));
                }
                Input::EndOfLines => bail!("standard input ended before the plan"),
                _ => {}
            }
        }
    }
}

/// Writes to standard output that the process is ready, with its addresses.
fn write_ready(ready: &Ready) -> Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "{}", serde_json::to_string(ready)?)?;
    Ok(output.flush()?)
}
