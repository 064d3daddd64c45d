//! Lines of tables as individual resources: locality endpoint discovery (LEDS), incremental only. Each line is an
//! `envoy.config.endpoint.v3.LbEndpoint` in a table's collection, with a name as the xDS transport protocol defines it
//! (`xdstp://authority/type/id`). Clients subscribe to the collection by its glob, which each operation's
//! `ClusterLoadAssignment` contains (`LedsClusterLocalityConfig`).

use std::net::SocketAddr;

use prost::Message;
use shalereel_rpc::{Code, Status};
use xds_api::pb::envoy::config::core::v3::HealthStatus;
use xds_api::pb::envoy::config::core::v3::Locality;
use xds_api::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use xds_api::pb::envoy::config::endpoint::v3::{
    locality_lb_endpoints::LbConfig, ClusterLoadAssignment, Endpoint, LbEndpoint, LedsClusterLocalityConfig,
    LocalityLbEndpoints,
};
use xds_api::pb::google::protobuf::{Any, UInt32Value};

use crate::assignment::{decode_address, encode_address, policy};
use crate::routing::from_ads;
use crate::{decoded, types};

/// Prefix of the names of collections and lines; the number of the table follows.
const COLLECTION: &str = "xdstp://shalereel/envoy.config.endpoint.v3.LbEndpoint/table/";

/// A line of a table: one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Weight as sent, at least 1.
    pub weight: u32,
    /// Whether the endpoint is draining: it finishes the requests that it has and takes no new ones.
    pub draining: bool,
}

/// The glob that subscribes to a table's collection.
pub fn collection(table: u16) -> String {
    format!("{COLLECTION}{table}/*")
}

/// The table of a glob; `None` if the glob is not one of [`collection`].
pub fn table_of(glob: &str) -> Option<u16> {
    glob.strip_prefix(COLLECTION)?.strip_suffix("/*")?.parse().ok()
}

/// Resource name of a server's line in a table.
pub fn line_name(table: u16, server: u32) -> String {
    format!("{COLLECTION}{table}/{server}")
}

/// The table and the server in a line's resource name; `None` if it is not one of [`line_name`].
pub fn line_of(name: &str) -> Option<(u16, u32)> {
    let (table, server) = name.strip_prefix(COLLECTION)?.split_once('/')?;
    Some((table.parse().ok()?, server.parse().ok()?))
}

/// Encodes a line as a resource.
pub fn encode_line(line: &Line) -> Any {
    let endpoint = LbEndpoint {
        health_status: if line.draining { HealthStatus::Draining } else { HealthStatus::Healthy } as i32,
        load_balancing_weight: Some(UInt32Value { value: line.weight }),
        host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
            address: Some(encode_address(line.address)),
            ..Endpoint::default()
        })),
        ..LbEndpoint::default()
    };
    Any { type_url: types::LINE.into(), value: endpoint.encode_to_vec() }
}

/// Decodes a line from a resource.
///
/// # Errors
///
/// The resource is not an endpoint, or it has no socket address or a weight of 0.
pub fn decode_line(any: &Any) -> Result<Line, Status> {
    let invalid = |text: String| Status::new(Code::InvalidArgument, text);
    if any.type_url != types::LINE {
        return Err(invalid(format!("{} where an LbEndpoint was asked for", any.type_url)));
    }
    let message: LbEndpoint = decoded(&any.value, "LbEndpoint")?;
    let address = match &message.host_identifier {
        Some(HostIdentifier::Endpoint(host)) => decode_address(host.address.as_ref()),
        _ => None,
    };
    let address = address.ok_or_else(|| invalid("a line without a socket address".into()))?;
    let weight = message.load_balancing_weight.as_ref().map_or(1, |weight| weight.value);
    if weight == 0 {
        return Err(invalid(format!("line {address} has weight 0; leave it out")));
    }
    let draining = !matches!(message.health_status(), HealthStatus::Unknown | HealthStatus::Healthy);
    Ok(Line { address, weight, draining })
}

/// Encodes an operation's assignment that refers to a table's collection instead of listing endpoints. All localities share
/// one collection: with a collection for each, the weights of localities would have to be sent again whenever a line changes.
pub fn assignment_of(cluster: &str, table: u16, admitted: f64) -> Any {
    let config =
        LedsClusterLocalityConfig { leds_config: Some(from_ads()), leds_collection_name: collection(table) };
    let endpoints = LocalityLbEndpoints {
        locality: Some(Locality::default()),
        load_balancing_weight: Some(UInt32Value { value: 1 }),
        lb_config: Some(LbConfig::LedsClusterLocalityConfig(config)),
        ..LocalityLbEndpoints::default()
    };
    let message = ClusterLoadAssignment {
        cluster_name: cluster.into(),
        endpoints: vec![endpoints],
        policy: policy(admitted),
        ..ClusterLoadAssignment::default()
    };
    Any { type_url: types::ASSIGNMENT.into(), value: message.encode_to_vec() }
}

/// The collection that an assignment refers to instead of listing endpoints; `None` if it refers to none.
///
/// # Errors
///
/// The resource is not an assignment.
pub fn collection_of(any: &Any) -> Result<Option<String>, Status> {
    let message: ClusterLoadAssignment = decoded(&any.value, "ClusterLoadAssignment")?;
    Ok(message.endpoints.into_iter().find_map(|group| match group.lb_config {
        Some(LbConfig::LedsClusterLocalityConfig(config)) => Some(config.leds_collection_name),
        _ => None,
    }))
}
