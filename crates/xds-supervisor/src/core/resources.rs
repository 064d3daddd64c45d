//! Encoding of resources and deltas, and a cache of responses that several proxies share.

use std::collections::BTreeMap;

use bytes::Bytes;
use shalereel::interface::{Nanos, RetryPolicy, ServerId, TableId};
use shalereel_rpc::frame;
use shalereel_store::{Line, VersionNumber};
use shalereel_xds::{leds, routes, types, Resource, Response, Variant, EXCLUDED};

use super::{LISTENER_NAME, OPERATION_PATH_PREFIX};
use crate::endpoints::EndpointList;
use crate::tables::Tables;

/// Version of a resource; versions are only compared for equality. The two parts depend on the content:
/// - `Assignment`: version of the table, address version of the endpoint list.
/// - `Collection`: bit pattern of the admission limit, id of the table.
/// - `Routes`: number that encodes the retry policies, 0.
/// - `ExcludedServers`: version of the exclusions, address version of the endpoint list.
pub(super) type ResourceVersion = (u64, u64);

/// Source that a resource is encoded from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Content {
    /// Servers that no proxy may use.
    ExcludedServers,
    /// An operation with the lines of its table.
    Assignment { table: TableId, operation: u16 },
    /// An operation with a reference to its table as a collection of lines.
    Collection { table: TableId, operation: u16 },
    /// Retry policy of each operation.
    Routes(Vec<RetryPolicy>),
}

/// Content of a resource, and its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct VersionedContent {
    pub content: Content,
    pub version: ResourceVersion,
}

/// Cache key of a response: responses with equal keys are equal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ResponseKey {
    pub incremental: bool,
    pub queued_at: Nanos,
    pub contents: Vec<VersionedContent>,
}

/// Cache key of a delta: deltas with equal keys are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeltaKey {
    pub table: TableId,
    pub base: VersionNumber,
    pub queued_at: Nanos,
}

/// A framed response.
#[derive(Clone, Debug)]
pub(super) struct EncodedResponse {
    pub nonce: u64,
    pub message: Bytes,
}

/// A framed delta, and the version that it leads to.
#[derive(Clone, Debug)]
pub(super) struct EncodedDelta {
    pub nonce: u64,
    pub message: Bytes,
    pub version: VersionNumber,
}

/// Responses that were encoded in this poll; proxies that use the same table are sent the same bytes.
#[derive(Debug, Default)]
pub(super) struct ResponseCache {
    pub responses: BTreeMap<ResponseKey, EncodedResponse>,
    pub deltas: BTreeMap<DeltaKey, EncodedDelta>,
}

impl ResponseCache {
    pub fn clear(&mut self) {
        self.responses.clear();
        self.deltas.clear();
    }
}

/// Encodes a resource.
pub(super) fn encode_resource(
    tables: &mut Tables,
    endpoints: &EndpointList,
    operations: &[String],
    versioned: &VersionedContent,
) -> Resource {
    let name_of = |operation: u16| operations[usize::from(operation)].as_str();
    let (name, any) = match versioned.content {
        Content::ExcludedServers => (EXCLUDED, tables.excluded_assignment(endpoints)),
        Content::Assignment { table, operation } => {
            let name = name_of(operation);
            (name, tables.assignment(table, operation, name, endpoints))
        }
        Content::Collection { table, operation } => {
            let name = name_of(operation);
            (name, leds::assignment_of(name, table, tables.admission_limit(table, operation)))
        }
        Content::Routes(ref policies) => {
            let policies = operations.iter().map(String::as_str).zip(policies.iter().copied());
            (LISTENER_NAME, routes(LISTENER_NAME, OPERATION_PATH_PREFIX, policies))
        }
    };
    let (first, second) = versioned.version;
    Resource { name: name.to_owned(), version: format!("{first}.{second}"), any }
}

/// Encodes the lines of a table that differ from a base version; `None` if the base is no longer stored.
pub(super) fn encode_delta(
    tables: &Tables,
    key: DeltaKey,
    nonce: u64,
    epoch: Option<u64>,
    identity: &str,
) -> Option<EncodedDelta> {
    let delta = tables.store.delta_from(key.table, key.base)?;
    let number = delta.check.number;
    let step = format!("{}>{}", delta.base, delta.check);
    let version = epoch.map_or(step.clone(), |epoch| format!("{epoch}/{step}"));
    let resource = |(server, line): &(ServerId, Line)| Resource {
        name: leds::line_name(key.table, *server),
        version: number.to_string(),
        any: leds::encode_line(&leds::Line {
            address: line.address,
            weight: line.weight,
            draining: line.draining,
        }),
    };
    let response = Response {
        type_url: types::LINE,
        version: &version,
        resources: delta.changed.iter().map(resource).collect(),
        removed: delta.removed.iter().map(|&server| leds::line_name(key.table, server)).collect(),
        nonce,
        stamp: key.queued_at,
    };
    let message = frame(&response.encode(Variant::Incremental, identity));
    Some(EncodedDelta { nonce, message, version: number })
}
