//! Resources and responses of discovery streams, and the updates that clients decode from them.

use std::collections::BTreeMap;

use prost::Message;
use xds_api::pb::envoy::config::core::v3::ControlPlane;
use xds_api::pb::envoy::service::discovery::v3::{
    self as discovery, DeltaDiscoveryResponse, DiscoveryResponse,
};
use xds_api::pb::google::protobuf::Any;

/// The two variants of the transport protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Every response contains all resources of its type.
    StateOfTheWorld,
    /// A response contains only the resources that have changed.
    Incremental,
}

/// A resource to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Resource {
    /// Name of the resource, unique within its type.
    pub name: String,
    /// Version of the resource; opaque to clients.
    pub version: String,
    /// The encoded resource.
    pub any: Any,
}

/// A response to a client. Streams that get the same response share its bytes, since nonces need only be unique within a
/// stream.
#[derive(Clone, Debug)]
pub struct Response<'a> {
    /// Type URL of the resources.
    pub type_url: &'a str,
    /// Version of the response as a whole.
    pub version: &'a str,
    /// State of the world: all resources. Incremental: those that have changed.
    pub resources: Vec<Resource>,
    /// Incremental only: names of resources that do not exist any more, or never existed.
    pub removed: Vec<String>,
    /// Number of the response on its stream; the first part of its nonce.
    pub nonce: u64,
    /// Time of the decision that led to the response, ns by the sender's clock; the second part of its nonce. It serves
    /// measurements and the analysis of traffic, and is opaque to clients.
    pub stamp: u64,
}

impl Response<'_> {
    /// Encodes the response. `identifier` is sent as `control_plane.identifier`.
    pub fn encode(self, variant: Variant, identifier: &str) -> Vec<u8> {
        let nonce = format!("{}@{}", self.nonce, self.stamp);
        let control_plane = Some(ControlPlane { identifier: identifier.to_owned() });
        let (version, type_url) = (self.version.to_owned(), self.type_url.to_owned());
        match variant {
            Variant::StateOfTheWorld => DiscoveryResponse {
                version_info: version,
                resources: self.resources.into_iter().map(|resource| resource.any).collect(),
                type_url,
                nonce,
                control_plane,
                ..DiscoveryResponse::default()
            }
            .encode_to_vec(),
            Variant::Incremental => DeltaDiscoveryResponse {
                system_version_info: version,
                resources: self
                    .resources
                    .into_iter()
                    .map(|resource| discovery::Resource {
                        name: resource.name,
                        version: resource.version,
                        resource: Some(resource.any),
                        ..discovery::Resource::default()
                    })
                    .collect(),
                type_url,
                removed_resources: self.removed,
                nonce,
                control_plane,
                ..DeltaDiscoveryResponse::default()
            }
            .encode_to_vec(),
        }
    }
}

/// A response as decoded by a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Type URL of the resources.
    pub type_url: String,
    /// Version of the response as a whole.
    pub version: String,
    /// Identifies the response in its acknowledgement.
    pub nonce: String,
    /// State of the world: all resources. Incremental: those that have changed.
    pub resources: Vec<Any>,
    /// Incremental only: names of the resources, in the order of `resources`.
    pub names: Vec<String>,
    /// Incremental only: names of resources that do not exist any more.
    pub removed: Vec<String>,
    /// Incremental only: versions of the resources, by name.
    pub(crate) resource_versions: BTreeMap<String, String>,
    /// The server's `control_plane.identifier`.
    pub control_plane: String,
}

impl Update {
    /// The number and the stamp in the nonce; `None` if no [`Response`] has made it.
    pub fn stamp(&self) -> Option<(u64, u64)> {
        let (number, stamp) = self.nonce.split_once('@')?;
        Some((number.parse().ok()?, stamp.parse().ok()?))
    }
}
