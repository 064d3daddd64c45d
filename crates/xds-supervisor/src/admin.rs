//! Operators' requests about tables. They arrive by gRPC on a separate listener and are answered with JSON.
//! [`Core`](crate::Core) calls [`answer`]; `shalereel tables` sends the requests. The module makes no decisions about
//! tables of its own: it decodes a request, calls [`Tables`], which accepts or rejects it, and encodes the result.

mod json;
mod messages;

use prost::Message;
use serde_json::{json, Value};
use shalereel::interface::{Nanos, TableId};
use shalereel_rpc::{Code, Status};
use shalereel_store::{ConstraintError, Lines, Provenance, VersionNumber};

use crate::tables::{CapRequest, RollbackRequest, TableContext, Tables};

pub use messages::{
    AdminQuery, AdminRequest, AdminResponse, CapServer, DiffVersions, EndRollbacks, ListVersions,
    ShowVersion, StartRollback,
};

/// Path of the unary gRPC method.
pub const ADMIN_PATH: &str = "/shalereel.admin.v1.Tables/Ask";

const NANOS_PER_MS: Nanos = 1_000_000;

/// Answers one request.
///
/// # Errors
///
/// The request cannot be decoded or executed; the status names the reason.
pub fn answer(tables: &mut Tables, context: &TableContext, message: &[u8]) -> Result<Vec<u8>, Status> {
    let malformed = |text: String| Status::new(Code::InvalidArgument, text);
    // The text has an earlier name of the message, since clients may match it.
    let request =
        AdminRequest::decode(message).map_err(|error| malformed(format!("not an AdminAsk: {error}")))?;
    let query = request.query.ok_or_else(|| malformed("a question of a later version".into()))?;
    let content = match query {
        AdminQuery::List(ListVersions { last }) => json::versions(tables, context, last as usize),
        AdminQuery::Show(ShowVersion { version }) => show(tables, context, version)?,
        AdminQuery::Diff(DiffVersions { from, to }) => diff(tables, from, to)?,
        AdminQuery::StartRollback(order) => start_rollback(tables, context, order)?,
        AdminQuery::CapServer(order) => cap_server(tables, context.now, order)?,
        AdminQuery::EndRollbacks(EndRollbacks {}) => json!({ "ended": tables.end_rollbacks() }),
    };
    Ok(AdminResponse { json: content.to_string() }.encode_to_vec())
}

fn constraint_status(error: ConstraintError) -> Status {
    Status::new(Code::FailedPrecondition, error.to_string())
}

fn lines_at(tables: &Tables, version: VersionNumber) -> Result<(TableId, Lines), Status> {
    let lines = tables.store.lines_at(version);
    lines.ok_or_else(|| constraint_status(ConstraintError::UnknownVersion(version)))
}

fn show(tables: &Tables, context: &TableContext, version: VersionNumber) -> Result<Value, Status> {
    let newest = tables.store.versions().last().map_or(0, |newest| newest.number);
    let version = if version == 0 { newest } else { version };
    let (table, lines) = lines_at(tables, version)?;
    let lines = json::lines_with_servers(tables, context, &lines);
    let made = tables.store.version(version).map(json::version_summary);
    Ok(json!({ "version": version, "table": table, "made": made, "lines": lines }))
}

fn diff(tables: &Tables, from: VersionNumber, to: VersionNumber) -> Result<Value, Status> {
    let (table, old_lines) = lines_at(tables, from)?;
    let (other_table, new_lines) = lines_at(tables, to)?;
    if table != other_table {
        let text = format!("version {from} is of table {table}, version {to} of table {other_table}");
        return Err(Status::new(Code::InvalidArgument, text));
    }
    let lines = json::differing_lines(&old_lines, &new_lines);
    Ok(json!({ "table": table, "from": from, "to": to, "lines": lines }))
}

fn start_rollback(
    tables: &mut Tables,
    context: &TableContext,
    order: StartRollback,
) -> Result<Value, Status> {
    let actor = if order.actor.is_empty() { "operator" } else { &order.actor };
    let reason = format!("back to {}: {}", order.version, order.reason);
    let request = RollbackRequest {
        target: order.version,
        duration: order.duration_ms.saturating_mul(NANOS_PER_MS),
        provenance: Provenance::new(actor, reason),
        dry_run: order.dry_run,
    };
    let (table, plan) = tables.start_rollback(request, context).map_err(constraint_status)?;
    Ok(json!({
        "table": table, "to": order.version, "dry_run": order.dry_run, "takes": plan.restored,
        "moves": json::moved_servers(tables, table, &plan), "stays": json::skipped_servers(&plan),
    }))
}

fn cap_server(tables: &mut Tables, now: Nanos, order: CapServer) -> Result<Value, Status> {
    let CapServer { server, factor, duration_ms, actor, reason } = order;
    let capped = duration_ms > 0;
    let result = if capped {
        let duration = duration_ms.saturating_mul(NANOS_PER_MS);
        let provenance = Provenance::new(&actor, reason);
        tables.cap_server(server, CapRequest { factor, duration, provenance }, now)
    } else {
        tables.release_server(server)
    };
    result.map_err(constraint_status)?;
    Ok(json!({ "server": server, "held": capped }))
}
