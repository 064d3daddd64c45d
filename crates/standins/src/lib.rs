//! Stand-ins for what a supervisor works among: servers, forwarders, callers and the registry. Each is one
//! process that reads a plan and then commands as lines of JSON on its input, says on its output when it is
//! ready, and writes what it saw to a trace. Servers and forwarders of one day live many in one process.

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
use shalereel_reactor::SECOND;
use shalereel_rpc::{ConnectionLimits, Hub, Input};

/// What one connection among stand-ins may cost.
const BOUNDS: ConnectionLimits = ConnectionLimits {
    max_message_bytes: 4 << 20,
    max_concurrent_calls: 10_000,
    max_unsent_bytes: 16 << 20,
    user_timeout: 20 * SECOND,
    retry_delay: SECOND / 20,
};

/// Plays one stand-in until its input ends or it is told to stop.
pub fn run(role: &str) -> Result<()> {
    match role {
        "servers" => servers::run(),
        "forwarders" => forwarders::run(),
        "callers" => callers::run(),
        "registry" => registry::run(),
        "links" => links::run(),
        other => bail!("no stand-in {other:?}; there are servers, forwarders, callers, registry and links"),
    }
}

/// The first line of the input, as a plan.
fn read_plan<P: DeserializeOwned, L: Clone, K>(hub: &mut Hub<L, K>) -> Result<(P, Vec<Input<L, K>>)> {
    hub.read_lines()?;
    loop {
        let mut inputs = hub.wait(None)?.into_iter();
        while let Some(input) = inputs.next() {
            match input {
                Input::Line(line) => {
                    let plan = serde_json::from_str(&line).context("the plan cannot be read")?;
                    return Ok((plan, inputs.collect()));
                }
                Input::EndOfLines => bail!("the input ended before a plan"),
                _ => {}
            }
        }
    }
}

/// One line on the output: ready, and where.
fn say_ready(ready: &Ready) -> Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(ready)?)?;
    Ok(out.flush()?)
}
