//! xDS v3 transport and load reporting, free of I/O: messages, and the state of one stream on either side.
//!
//! Message types, field numbers and type URLs are those of the published crate `xds-api`. This crate says what tables,
//! endpoint lists and load reports look like in them (`docs/design-grpc.md`). `crates/xds-supervisor` serves these streams and
//! subscribes to the registry's; `crates/standins` and the measurements of `crates/cli` subscribe to them.

#![deny(missing_docs, unreachable_pub)]

mod assignment;
mod client_stream;
mod discovery;
pub mod leds;
mod load_report;
mod node_info;
mod routing;
mod server_stream;

pub use assignment::{AssignedEndpoint, Assignment, EncodedAssignment, Health, ServerInfo, EXCLUDED};
pub use client_stream::ClientStream;
pub use discovery::{Resource, Response, Update, Variant};
pub use load_report::{ClusterLoad, EndpointLoad, LoadReport, LoadReportConfig, RESPONSE_TIME_METRIC};
pub use node_info::NodeInfo;
pub use routing::{cluster, decode_retries, listener, routes};
pub use server_stream::{ClientRequest, ServerStream};

use shalereel_rpc::{Code, Status};
pub use xds_api::pb::google::protobuf::Any;

/// Aggregated discovery, state of the world.
pub const ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
/// Aggregated discovery, incremental.
pub const DELTA_ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
/// Endpoint discovery on a stream of its own, state of the world.
pub const EDS: &str = "/envoy.service.endpoint.v3.EndpointDiscoveryService/StreamEndpoints";
/// Endpoint discovery on a stream of its own, incremental.
pub const DELTA_EDS: &str = "/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints";
/// Lines of tables on a stream of their own.
pub const DELTA_LEDS: &str =
    "/envoy.service.endpoint.v3.LocalityEndpointDiscoveryService/DeltaLocalityEndpoints";
/// Load reports.
pub const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// A server's own health, `grpc.health.v1`.
pub const HEALTH: &str = "/grpc.health.v1.Health/Check";

/// Type URLs of the resources that are served.
pub mod types {
    /// How clients find their routes.
    pub const LISTENER: &str = "type.googleapis.com/envoy.config.listener.v3.Listener";
    /// Which cluster an operation goes to.
    pub const ROUTES: &str = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration";
    /// An operation as a cluster.
    pub const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    /// One line of a table.
    pub const LINE: &str = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint";
    /// The endpoints of a cluster.
    pub const ASSIGNMENT: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
}

/// Decodes a message; one that cannot be decoded ends its stream.
fn decoded<M: prost::Message + Default>(bytes: &[u8], what: &str) -> Result<M, Status> {
    M::decode(bytes).map_err(|error| Status::new(Code::InvalidArgument, format!("{what}: {error}")))
}
