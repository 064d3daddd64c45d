//! Tables as xDS resources.

use shalereel::interface::{ServerId, TableId};
use shalereel_store::{Line, UNIT_WEIGHT};
use shalereel_xds::{Any, AssignedEndpoint, Assignment, EncodedAssignment, Health, EXCLUDED};

use super::{OperationIndex, Tables};
use crate::endpoints::EndpointList;

/// A table as it was encoded last. Operations with the same admission limit differ in their name alone.
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
    /// A table as the assignment of an operation's cluster; cached until it changes.
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
            // Bodies of admission limits that no operation has any more go with the older versions.
            self.rendered.retain(|other, cached| {
                other.0 != table || cached.is_current(table_version, address_version)
            });
            self.rendered.insert(key, RenderedTable { table_version, address_version, body });
        }
        self.rendered.get(&key).map(|cached| cached.body.named(name)).unwrap_or_default()
    }

    /// The assignment of servers that no proxy may use, whatever its tables say.
    pub fn excluded_assignment(&self, endpoints: &EndpointList) -> Any {
        let endpoints = self.excluded.iter().filter_map(|&server| {
            let place = endpoints.endpoint(server)?;
            Some(AssignedEndpoint {
                address: place.address,
                zone: place.zone.clone(),
                health: Health::Draining,
                weight: 1.0,
                info: None,
            })
        });
        Assignment { cluster: EXCLUDED.into(), endpoints: endpoints.collect(), admitted: 1.0 }.encode()
    }
}

fn endpoint(server: ServerId, line: &Line, endpoints: &EndpointList) -> Option<AssignedEndpoint> {
    let place = endpoints.endpoint(server)?;
    Some(AssignedEndpoint {
        address: line.address,
        zone: place.zone.clone(),
        health: if line.draining { Health::Draining } else { Health::Ready },
        weight: f64::from(line.weight) / UNIT_WEIGHT,
        info: None,
    })
}
