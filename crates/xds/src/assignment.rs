//! Encodes and decodes tables and endpoint lists as `envoy.config.endpoint.v3.ClusterLoadAssignment`.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

use prost::Message;
use shalereel::interface::Nanos;
use shalereel_rpc::{Code, Status};
use xds_api::pb::envoy::config::core::v3::{
    address, socket_address, Address, HealthStatus, Locality, Metadata, SocketAddress,
};
use xds_api::pb::envoy::config::endpoint::v3::cluster_load_assignment::{policy::DropOverload, Policy};
use xds_api::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use xds_api::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint, LbEndpoint, LocalityLbEndpoints,
};
use xds_api::pb::envoy::r#type::v3::{fractional_percent::DenominatorType, FractionalPercent};
use xds_api::pb::google::protobuf::{Any, UInt32Value};

use crate::{decoded, types};

/// Name of the resource that lists the excluded endpoints. Clients must not send requests to these, even if their tables have
/// them. It is the only resource that the specification does not define; a client that does not subscribe to it gets the
/// same information from its tables.
pub const EXCLUDED: &str = "shalereel.shunned";
/// Key of the metadata filter that carries [`ServerInfo`] as a message of type `SERVER_INFO_TYPE`.
const SERVER_INFO: &str = "shalereel.server";
const SERVER_INFO_TYPE: &str = "type.googleapis.com/shalereel.v1.ServerFacts";
/// Category of the `drop_overloads` that carry an admission limit.
pub(crate) const ADMISSION_CATEGORY: &str = "level";
/// The integer that stands for a weight of 1 on the wire, where weights are integers from 1 up.
const UNIT_WEIGHT: f64 = 10_000.0;
const MILLION: f64 = 1e6;

/// Health of an endpoint. The health statuses of the specification are reduced to these three.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The endpoint takes requests.
    Ready,
    /// The endpoint finishes the requests that it has and takes no new ones.
    Draining,
    /// Any other status: clients must not use the endpoint.
    Unhealthy,
}

/// The message that carries [`ServerInfo`].
#[derive(Clone, PartialEq, Message)]
struct ServerInfoMessage {
    #[prost(uint32, tag = "1")]
    server: u32,
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(uint32, tag = "3")]
    cell: u32,
    #[prost(uint64, tag = "4")]
    incarnation: u64,
    /// Age of the incarnation when the message is sent, in milliseconds; absent if the server started long ago.
    #[prost(uint64, optional, tag = "5")]
    age_ms: Option<u64>,
}

/// Properties of a server that a registry reports in addition to the fields of the specification.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerInfo {
    /// Number of the server in the registry.
    pub server: u32,
    /// Number of the server's hardware type.
    pub kind: u16,
    /// Number of the cell, a group of servers within a locality.
    pub cell: u16,
    /// Number that identifies the current start of the server; it differs at every start.
    pub incarnation: u64,
    /// Time between the start and the sending of the message, ns rounded down to milliseconds; `None` if the server started
    /// long ago.
    pub age: Option<Nanos>,
}

/// One endpoint of a table or endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedEndpoint {
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Zone of the endpoint (`Locality.zone`).
    pub zone: String,
    /// Whether the endpoint takes requests.
    pub health: Health,
    /// Weight, above 0. It is rounded to 1/10,000 on the wire, but never to 0.
    pub weight: f64,
    /// Properties of the server that a registry reports, if it does.
    pub info: Option<ServerInfo>,
}

/// The content of a `ClusterLoadAssignment`: one operation's table, or the registry's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Name of the cluster: the operation, or the registry's endpoint list.
    pub cluster: String,
    /// Endpoints of the cluster.
    pub endpoints: Vec<AssignedEndpoint>,
    /// Fraction of the requests that are admitted, 0 to 1; encoded as `drop_overloads`.
    pub admitted: f64,
}

pub(crate) fn encode_address(address: SocketAddr) -> Address {
    Address {
        address: Some(address::Address::SocketAddress(SocketAddress {
            address: address.ip().to_string(),
            port_specifier: Some(socket_address::PortSpecifier::PortValue(address.port().into())),
            ..SocketAddress::default()
        })),
    }
}

pub(crate) fn decode_address(address: Option<&Address>) -> Option<SocketAddr> {
    let address::Address::SocketAddress(socket) = address?.address.as_ref()? else { return None };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse::<IpAddr>().ok()?, u16::try_from(port).ok()?))
}

/// Encodes an admission limit as a drop policy; `None` if all requests are admitted.
pub(crate) fn policy(admitted: f64) -> Option<Policy> {
    let dropped = 1.0 - admitted.clamp(0.0, 1.0);
    let drops = DropOverload {
        category: ADMISSION_CATEGORY.into(),
        drop_percentage: Some(FractionalPercent {
            numerator: (dropped * MILLION).round() as u32,
            denominator: DenominatorType::Million as i32,
        }),
    };
    (dropped > 0.0).then(|| Policy { drop_overloads: vec![drops], ..Policy::default() })
}

impl ServerInfo {
    fn encode(self) -> Metadata {
        let message = ServerInfoMessage {
            server: self.server,
            kind: self.kind.into(),
            cell: self.cell.into(),
            incarnation: self.incarnation,
            age_ms: self.age.map(|age| age / 1_000_000),
        };
        let any = Any { type_url: SERVER_INFO_TYPE.into(), value: message.encode_to_vec() };
        Metadata {
            typed_filter_metadata: HashMap::from([(SERVER_INFO.to_owned(), any)]),
            ..Metadata::default()
        }
    }

    fn decode(metadata: &Metadata) -> Option<Self> {
        let any =
            metadata.typed_filter_metadata.get(SERVER_INFO).filter(|any| any.type_url == SERVER_INFO_TYPE)?;
        let message = ServerInfoMessage::decode(&any.value[..]).ok()?;
        Some(ServerInfo {
            server: message.server,
            kind: u16::try_from(message.kind).ok()?,
            cell: u16::try_from(message.cell).ok()?,
            incarnation: message.incarnation,
            age: message.age_ms.map(|age| age.saturating_mul(1_000_000)),
        })
    }
}

/// An encoded assignment without its name. The name is encoded separately and put in front, since the fields of a protobuf
/// message may be concatenated in any order.
#[derive(Clone, Debug)]
pub struct EncodedAssignment(Vec<u8>);

impl EncodedAssignment {
    /// Returns the assignment as the resource of the cluster with this name.
    pub fn named(&self, cluster: &str) -> Any {
        let name =
            ClusterLoadAssignment { cluster_name: cluster.to_owned(), ..ClusterLoadAssignment::default() };
        let mut value = Vec::with_capacity(name.encoded_len() + self.0.len());
        // Encoding into a vector cannot fail, since the vector grows.
        let _ = name.encode(&mut value);
        value.extend_from_slice(&self.0);
        Any { type_url: types::ASSIGNMENT.into(), value }
    }
}

impl Assignment {
    /// Encodes the assignment as a resource.
    pub fn encode(&self) -> Any {
        self.body().named(&self.cluster)
    }

    /// Encodes everything but the name, so that clusters with the same endpoints and admission limit can share the bytes.
    pub fn body(&self) -> EncodedAssignment {
        let sum: f64 = self.endpoints.iter().map(|endpoint| endpoint.weight).sum();
        // The specification limits the sum of a priority's weights to 32 bits.
        let unit = UNIT_WEIGHT.min(f64::from(u32::MAX / 2) / sum.max(f64::MIN_POSITIVE));
        let mut zones: BTreeMap<&str, Vec<&AssignedEndpoint>> = BTreeMap::new();
        for endpoint in &self.endpoints {
            zones.entry(&endpoint.zone).or_default().push(endpoint);
        }
        let endpoints = zones.into_iter().map(|(zone, zone_endpoints)| {
            let weights: Vec<u32> = zone_endpoints
                .iter()
                .map(|endpoint| ((endpoint.weight * unit).round() as u32).max(1))
                .collect();
            let lb_endpoints = zone_endpoints.iter().zip(&weights).map(|(endpoint, &weight)| LbEndpoint {
                health_status: match endpoint.health {
                    Health::Ready => HealthStatus::Healthy,
                    Health::Draining => HealthStatus::Draining,
                    Health::Unhealthy => HealthStatus::Unhealthy,
                } as i32,
                metadata: endpoint.info.map(ServerInfo::encode),
                load_balancing_weight: Some(UInt32Value { value: weight }),
                host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
                    address: Some(encode_address(endpoint.address)),
                    ..Endpoint::default()
                })),
            });
            let ready =
                zone_endpoints.iter().zip(&weights).filter(|(endpoint, _)| endpoint.health == Health::Ready);
            // A locality's weight is the sum of its ready endpoints' weights, so that clients that choose a locality first
            // distribute requests as if there were no localities.
            let value = ready.map(|(_, weight)| weight).sum::<u32>().max(1);
            LocalityLbEndpoints {
                locality: Some(Locality { zone: zone.to_owned(), ..Locality::default() }),
                lb_endpoints: lb_endpoints.collect(),
                load_balancing_weight: Some(UInt32Value { value }),
                ..LocalityLbEndpoints::default()
            }
        });
        let policy = policy(self.admitted);
        let endpoints = endpoints.collect();
        let message = ClusterLoadAssignment { endpoints, policy, ..ClusterLoadAssignment::default() };
        EncodedAssignment(message.encode_to_vec())
    }

    /// Decodes an assignment from a resource.
    ///
    /// # Errors
    ///
    /// The resource is not an assignment, or an endpoint has no socket address or a weight of 0.
    pub fn decode(any: &Any) -> Result<Self, Status> {
        if any.type_url != types::ASSIGNMENT {
            return Err(invalid(format!("{} where a ClusterLoadAssignment was asked for", any.type_url)));
        }
        let message: ClusterLoadAssignment = decoded(&any.value, "ClusterLoadAssignment")?;
        let cluster = message.cluster_name;
        let mut endpoints = Vec::new();
        for group in &message.endpoints {
            let zone = group.locality.as_ref().map(|locality| locality.zone.clone()).unwrap_or_default();
            for endpoint in &group.lb_endpoints {
                endpoints.push(AssignedEndpoint::decode(&cluster, &zone, endpoint)?);
            }
        }
        let admitted = message.policy.as_ref().map_or(1.0, decode_admitted);
        Ok(Assignment { cluster, endpoints, admitted })
    }
}

fn invalid(text: String) -> Status {
    Status::new(Code::InvalidArgument, text)
}

impl AssignedEndpoint {
    fn decode(cluster: &str, zone: &str, endpoint: &LbEndpoint) -> Result<Self, Status> {
        let address = match &endpoint.host_identifier {
            Some(HostIdentifier::Endpoint(host)) => decode_address(host.address.as_ref()),
            _ => None,
        };
        let Some(address) = address else {
            return Err(invalid(format!("{cluster}: an endpoint without a socket address")));
        };
        let weight = endpoint.load_balancing_weight.as_ref().map_or(1, |weight| weight.value);
        if weight == 0 {
            return Err(invalid(format!("{cluster}: endpoint {address} has weight 0; leave it out")));
        }
        Ok(AssignedEndpoint {
            address,
            zone: zone.to_owned(),
            health: match endpoint.health_status() {
                HealthStatus::Unknown | HealthStatus::Healthy => Health::Ready,
                HealthStatus::Draining => Health::Draining,
                _ => Health::Unhealthy,
            },
            // A sender that had to use a smaller unit has scaled all weights by the same factor, and only their ratios matter.
            weight: f64::from(weight) / UNIT_WEIGHT,
            info: endpoint.metadata.as_ref().and_then(ServerInfo::decode),
        })
    }
}

/// Decodes the fraction of requests that a policy admits, 0 to 1.
fn decode_admitted(policy: &Policy) -> f64 {
    let mut admitted = 1.0;
    for dropped in policy.drop_overloads.iter().filter_map(|drop| drop.drop_percentage.as_ref()) {
        let denominator = match dropped.denominator() {
            DenominatorType::Hundred => 100.0,
            DenominatorType::TenThousand => 10_000.0,
            DenominatorType::Million => MILLION,
        };
        // Each category drops a fraction of the requests that the categories before have admitted.
        admitted *= 1.0 - (f64::from(dropped.numerator) / denominator).min(1.0);
    }
    admitted
}
