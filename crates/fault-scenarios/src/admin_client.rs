//! An operator's side of a supervisor: one question, one answer.

use std::net::SocketAddr;

use anyhow::{anyhow, bail, Context, Result};
use prost::Message;
use serde_json::Value;
use shalereel_group::wire::{
    Command, CommandPayload, ControlRequest, ControlResponse, OperatorOrder, ReleaseOrder, CONTROL_PATH,
};
use shalereel_reactor::{now, Nanos, SECOND};
use shalereel_rpc::{Code, ConnectionLimits, Hub, Input, Status};
use shalereel_xds_supervisor::admin::{
    AdminQuery, AdminRequest, AdminResponse, ListVersions, StartRollback, ADMIN_PATH,
};

/// An order that is not agreed on is given up by the supervisor before this.
const PATIENCE: Nanos = 60 * SECOND;

/// How things stand at a supervisor. Errors: it is not there, or shares nothing.
pub fn group_status(at: SocketAddr) -> Result<Value> {
    ask(at, ControlRequest { command: None })
}

/// An order. Errors: it was refused, and why.
pub fn submit_command(at: SocketAddr, act: CommandPayload) -> Result<Value> {
    ask(at, ControlRequest { command: Some(Command { request_id: 0, payload: Some(act) }) })
}

/// Ends the order about a server that is like this one. Errors: none stands.
pub fn release_order(at: SocketAddr, order: &OperatorOrder) -> Result<Value> {
    let standing = group_status(at)?;
    let does = if order.weight_cap_millionths.is_some() { "hold" } else { "drain" };
    let like = |one: &&Value| one["server"] == order.server && one["does"] == does;
    let orders = standing["orders"].as_array().into_iter().flatten();
    let Some(found) = orders.into_iter().find(like).and_then(|one| one["order"].as_u64()) else {
        bail!("no order to {does} server {} stands", order.server);
    };
    submit_command(at, CommandPayload::ReleaseOrder(ReleaseOrder { order_index: found }))
}

/// Asks about tables, or orders a way back. Errors: it is not there, or refused, and why.
pub fn query_tables(at: SocketAddr, question: AdminQuery) -> Result<Value> {
    let answer = unary(at, ADMIN_PATH, &AdminRequest { query: Some(question) }.encode_to_vec())?;
    Ok(serde_json::from_str(&AdminResponse::decode(&answer[..])?.json)?)
}

/// The way back to what stood so long ago, or to the oldest that is kept. Errors: nothing is kept, or it was refused.
pub fn start_rollback(at: SocketAddr, age: Nanos, span: Nanos) -> Result<Value> {
    let told = query_tables(at, AdminQuery::List(ListVersions { last: u32::MAX }))?;
    let versions: Vec<&Value> = told["versions"].as_array().into_iter().flatten().collect();
    let newest = versions.iter().filter_map(|version| version["at_ms"].as_u64()).max().unwrap_or(0);
    let then = newest.saturating_sub(age / 1_000_000);
    // The newest come first.
    let found = versions.iter().find(|version| version["at_ms"].as_u64().is_some_and(|at| at <= then));
    let found = found.or(versions.last());
    let version = found.and_then(|version| version["version"].as_u64()).context("no version is kept")?;
    let (who, why) = ("drill".to_owned(), "a day's script".to_owned());
    let for_ms = span / 1_000_000;
    query_tables(
        at,
        AdminQuery::StartRollback(StartRollback {
            version,
            duration_ms: for_ms,
            dry_run: false,
            actor: who,
            reason: why,
        }),
    )
}

fn ask(at: SocketAddr, question: ControlRequest) -> Result<Value> {
    let answer = unary(at, CONTROL_PATH, &question.encode_to_vec())?;
    Ok(serde_json::from_str(&ControlResponse::decode(&answer[..])?.json)?)
}

/// One message there and one back.
fn unary(at: SocketAddr, path: &str, question: &[u8]) -> Result<Vec<u8>> {
    let bounds = ConnectionLimits {
        max_message_bytes: 16 << 20,
        max_concurrent_calls: 4,
        max_unsent_bytes: 1 << 20,
        user_timeout: PATIENCE,
        retry_delay: PATIENCE / 100,
    };
    let mut hub: Hub<(), ()> = Hub::new(bounds)?;
    let conn = hub.dial(at).with_context(|| at.to_string())?;
    let stream = hub.call(conn, path, None).context("no stream")?;
    hub.send(conn, stream, question);
    hub.finish(conn, stream, Status::OK);
    let until = now() + PATIENCE;
    let mut told = None;
    while now() < until {
        for input in hub.wait(Some(until))? {
            match input {
                Input::Message { message, .. } => told = Some(message.to_vec()),
                Input::Ended { status, .. } if status.code == Code::Ok => {
                    return told.take().ok_or_else(|| anyhow!("{at} answered nothing"));
                }
                Input::Ended { status, .. } => bail!("{}", status.message),
                Input::Closed { reason, .. } => bail!("{at}: {reason}"),
                _ => {}
            }
        }
    }
    bail!("{at} did not answer in time")
}
