//! Checks operators' expectations of routing, which are written in TOML files beside the configuration.
//!
//! No traffic is needed: the expectations are checked against a captured table, and against the tables that the real
//! controller computes for generated fleets of many sizes and shapes. `docs/expect.md` describes the design.

mod expectation;
mod fleet;
mod search;

pub use expectation::{read_expectations, Expectation, ExpectationSet, ServerGroup};
pub use fleet::{parse_captured_table, FleetShape, ServerEntry, TableView};
pub use search::{check_expectations, CheckReport, Contradiction, Violation};
