//! Runs fault scenarios on real processes and sockets, and evaluates them by their traces alone.
//!
//! A scenario is a TOML file that names a fleet, its demand, a schedule of faults and the expected service.

mod admin_client;
mod bench_import;
mod evaluation;
mod local_deployment;
mod report;
mod runner;
mod scenario;

pub use admin_client::{group_status, query_tables, release_order, start_rollback, submit_command};
pub use bench_import::convert_bench_scenario;
pub use evaluation::{evaluate, Rule, RuleResult, ServiceWindow, TableTraffic, Verdict, Violation};
pub use local_deployment::{LocalDeployment, Role};
pub use report::{json_report, text_report};
pub use runner::run_scenario;
pub use scenario::{Fault, FaultKind, Scenario};
