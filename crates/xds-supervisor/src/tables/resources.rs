//! Encoding of tables as xDS resources.

use shalereel::interface::{ServerId, TableId};
use shalereel_store::{Line, UNIT_WEIGHT};
use shalereel_xds::{Any, AssignedEndpoint, Assignment, EncodedAssignment, Health, EXCLUDED};

use super::{OperationIndex, Tables};
use crate::endpoints::EndpointList;

/// The last encoding of a table for one admission limit. Assignments of operations with the same limit differ only in
/// their name.
#[derive(Debug)]
pub(super) struct RenderedTable {
    table_version: u64,
    address_version: u64,
    body: EncodedAssignment,
}

impl RenderedTable {
    fn is_current(&self, table_version: u64, address_version: u64) -> bool {
        self.table_version == table_version && self.address_version == address_version
    }
}

impl Tables {
    /// Encodes a table as the assignment of an operation's cluster; the encoding is cached until the table changes.
    pub fn assignment(
        &mut self,
        table: TableId,
        operation: OperationIndex,
        name: &str,
        endpoints: &EndpointList,
    ) -> Any {
        let table_version = self.version(table);
        let address_version = endpoints.address_version();
        let admitted = self.admission_limit(table, operation);
        let key = (table, admitted.to_bits());
        let cached = self.rendered.get(&key);
        if !cached.is_some_and(|cached| cached.is_current(table_version, address_version)) {
            let lines = self.store.lines(table);
            let endpoints = lines.filter_map(|(server, line)| endpoint(server, line, endpoints)).collect();
            let body = Assignment { cluster: String::new(), endpoints, admitted }.body();
            // Outdated encodings are dropped, also those for admission limits that no operation has any more.
            self.rendered.retain(|other, cached| {
                other.0 != table || cached.is_current(table_version, address_version)
            });
            self.rendered.insert(key, RenderedTable { table_version, address_version, body });
        }
        self.rendered.get(&key).map(|cached| cached.body.named(name)).unwrap_or_default()
    }

    /// Encodes the assignment of excluded servers, which no proxy may use even if its tables list them.
    pub fn excluded_assignment(&self, endpoints: &EndpointList) -> Any {
        let endpoints = self.excluded.iter().filter_map(|&server| {
            let listed = endpoints.endpoint(server)?;
            Some(AssignedEndpoint {
                address: listed.address,
                zone: listed.zone.clone(),
                health: Health::Draining,
                weight: 1.0,
                info: None,
            })
        });
        Assignment { cluster: EXCLUDED.into(), endpoints: endpoints.collect(), admitted: 1.0 }.encode()
    }
}

fn endpoint(server: ServerId, line: &Line, endpoints: &EndpointList) -> Option<AssignedEndpoint> {
    let listed = endpoints.endpoint(server)?;
    Some(AssignedEndpoint {
        address: line.address,
        zone: listed.zone.clone(),
        health: if line.draining { Health::Draining } else { Health::Ready },
        weight: f64::from(line.weight) / UNIT_WEIGHT,
        info: None,
    })
}
