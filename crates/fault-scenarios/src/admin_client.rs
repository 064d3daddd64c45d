//! A client of a supervisor's operator interfaces: one request, one response.

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

/// Time limit of a request. A supervisor gives up a command that the group has not committed before this limit ends.
const REQUEST_TIMEOUT: Nanos = 60 * SECOND;
/// Largest size of a message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Largest amount of data that waits to be sent on the connection.
const MAX_UNSENT_BYTES: usize = 1 << 20;
const NANOS_PER_MS: Nanos = 1_000_000;

/// Queries the status of the group from a supervisor.
///
/// Errors: the supervisor cannot be reached, or is not a member of a group.
pub fn group_status(address: SocketAddr) -> Result<Value> {
    send_control_request(address, ControlRequest { command: None })
}

/// Submits a command to the group.
///
/// Errors: the supervisor cannot be reached, or rejected the command, with its reason.
pub fn submit_command(address: SocketAddr, command: CommandPayload) -> Result<Value> {
    send_control_request(
        address,
        ControlRequest { command: Some(Command { request_id: 0, payload: Some(command) }) },
    )
}

/// Releases the active order for the same server and of the same kind.
///
/// Errors: there is none, or the supervisor rejected the command.
pub fn release_order(address: SocketAddr, order: &OperatorOrder) -> Result<Value> {
    let status = group_status(address)?;
    let kind = if order.weight_cap_millionths.is_some() { "hold" } else { "drain" };
    let matches = |active: &&Value| active["server"] == order.server && active["does"] == kind;
    let orders = status["orders"].as_array().into_iter().flatten();
    let Some(order_index) = orders.into_iter().find(matches).and_then(|active| active["order"].as_u64())
    else {
        bail!("no order to {kind} server {} is active", order.server);
    };
    submit_command(address, CommandPayload::ReleaseOrder(ReleaseOrder { order_index }))
}

/// Queries a supervisor's tables, or starts a rollback of them.
///
/// Errors: the supervisor cannot be reached, or rejected the query, with its reason.
pub fn query_tables(address: SocketAddr, query: AdminQuery) -> Result<Value> {
    let response = call_unary(address, ADMIN_PATH, &AdminRequest { query: Some(query) }.encode_to_vec())?;
    Ok(serde_json::from_str(&AdminResponse::decode(&response[..])?.json)?)
}

/// Starts a rollback to the tables of `age` ago, or to the oldest version that is kept, for `duration`.
///
/// Errors: no version is kept, or the supervisor rejected the rollback.
pub fn start_rollback(address: SocketAddr, age: Nanos, duration: Nanos) -> Result<Value> {
    let list = query_tables(address, AdminQuery::List(ListVersions { last: u32::MAX }))?;
    let versions: Vec<&Value> = list["versions"].as_array().into_iter().flatten().collect();
    let newest = versions.iter().filter_map(|version| version["at_ms"].as_u64()).max().unwrap_or(0);
    let target_ms = newest.saturating_sub(age / NANOS_PER_MS);
    // The newest versions come first.
    let version_at_target =
        versions.iter().find(|version| version["at_ms"].as_u64().is_some_and(|at_ms| at_ms <= target_ms));
    let chosen = version_at_target.or(versions.last());
    let version = chosen.and_then(|version| version["version"].as_u64()).context("no version is kept")?;
    let (actor, reason) = ("drill".to_owned(), "a day's script".to_owned());
    let duration_ms = duration / NANOS_PER_MS;
    query_tables(
        address,
        AdminQuery::StartRollback(StartRollback { version, duration_ms, dry_run: false, actor, reason }),
    )
}

fn send_control_request(address: SocketAddr, request: ControlRequest) -> Result<Value> {
    let response = call_unary(address, CONTROL_PATH, &request.encode_to_vec())?;
    Ok(serde_json::from_str(&ControlResponse::decode(&response[..])?.json)?)
}

/// Sends one request message and returns the one response message.
fn call_unary(address: SocketAddr, path: &str, request: &[u8]) -> Result<Vec<u8>> {
    let limits = ConnectionLimits {
        max_message_bytes: MAX_MESSAGE_BYTES,
        max_concurrent_calls: 4,
        max_unsent_bytes: MAX_UNSENT_BYTES,
        max_held_bytes: usize::MAX,
        max_bytes_per_wait: usize::MAX,
        message_timeout: Nanos::MAX / 2,
        user_timeout: REQUEST_TIMEOUT,
        retry_delay: REQUEST_TIMEOUT / 100,
    };
    let mut hub: Hub<(), ()> = Hub::new(limits)?;
    let connection = hub.dial(address).with_context(|| address.to_string())?;
    let stream = hub.call(connection, path, None).context("the connection accepts no new call")?;
    hub.send(connection, stream, request);
    hub.finish(connection, stream, Status::OK);
    let deadline = now() + REQUEST_TIMEOUT;
    let mut response = None;
    while now() < deadline {
        for input in hub.wait(Some(deadline))? {
            match input {
                Input::Message { message, .. } => response = Some(message.to_vec()),
                Input::Ended { status, .. } if status.code == Code::Ok => {
                    return response.take().ok_or_else(|| anyhow!("{address} sent no response"));
                }
                Input::Ended { status, .. } => bail!("{}", status.message),
                Input::Closed { reason, .. } => bail!("{address}: {reason}"),
                _ => {}
            }
        }
    }
    bail!("{address} did not respond in time")
}
