//! xDS v3 discovery and load reporting, free of I/O: the messages, and the state of a stream on the serving and the
//! subscribing side.
//!
//! Message types, field numbers and type URLs are those of the published crate `xds-api`. This crate defines how they carry
//! tables, endpoint lists and load reports (`docs/design-grpc.md`). `crates/xds-supervisor` serves these streams and
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

/// Method path of aggregated discovery, state of the world.
pub const ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
/// Method path of aggregated discovery, incremental.
pub const DELTA_ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
/// Method path of endpoint discovery on a separate stream, state of the world.
pub const EDS: &str = "/envoy.service.endpoint.v3.EndpointDiscoveryService/StreamEndpoints";
/// Method path of endpoint discovery on a separate stream, incremental.
pub const DELTA_EDS: &str = "/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints";
/// Method path of the discovery of table lines on a separate stream, incremental.
pub const DELTA_LEDS: &str =
    "/envoy.service.endpoint.v3.LocalityEndpointDiscoveryService/DeltaLocalityEndpoints";
/// Method path of load reporting.
pub const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// Method path of health checks of a server (`grpc.health.v1`).
pub const HEALTH: &str = "/grpc.health.v1.Health/Check";

/// Type URLs of the resources that are served.
pub mod types {
    /// Listener, from which clients learn the name of their routes.
    pub const LISTENER: &str = "type.googleapis.com/envoy.config.listener.v3.Listener";
    /// Routes, which map operations to clusters.
    pub const ROUTES: &str = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration";
    /// Cluster; there is one for each operation.
    pub const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    /// One line of a table ([`leds`](crate::leds)).
    pub const LINE: &str = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint";
    /// Assignment: the endpoints of a cluster.
    pub const ASSIGNMENT: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
}

/// Decodes a message. The error is the status with which the stream of a malformed message ends.
fn decoded<M: prost::Message + Default>(bytes: &[u8], message_type: &str) -> Result<M, Status> {
    M::decode(bytes).map_err(|error| Status::new(Code::InvalidArgument, format!("{message_type}: {error}")))
}
