//! What travels on a discovery stream: resources, responses, and what a client reads of them.

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
    /// Every response holds all resources of its type.
    StateOfTheWorld,
    /// A response holds what changed.
    Incremental,
}

/// A resource to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Resource {
    /// Its name within its type.
    pub name: String,
    /// Its version, as text that means nothing to a client.
    pub version: String,
    /// The encoded resource.
    pub any: Any,
}

/// A response to a client. Streams that are sent the same share its bytes: nonces need only differ within a stream.
#[derive(Clone, Debug)]
pub struct Response<'a> {
    /// Type URL of the resources.
    pub type_url: &'a str,
    /// Version of the whole.
    pub version: &'a str,
    /// All resources, or those that changed.
    pub resources: Vec<Resource>,
    /// Incremental only: names of resources that do not exist any more, or never did.
    pub removed: Vec<String>,
    /// Number of the response on its stream.
    pub nonce: u64,
    /// Time at which it was decided, ns by the sender's clock: for whoever reads the traffic, and for measurements. It
    /// means nothing to a client.
    pub stamp: u64,
}

impl Response<'_> {
    /// Encodes it. `identifier` goes out as `control_plane.identifier`.
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

/// A response as a client decodes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Type URL of the resources.
    pub type_url: String,
    /// Version of the whole.
    pub version: String,
    /// Names the response in its acknowledgement.
    pub nonce: String,
    /// All resources, or those that changed.
    pub resources: Vec<Any>,
    /// Incremental only: names of the resources, in their order.
    pub names: Vec<String>,
    /// Incremental only: names of resources that do not exist any more.
    pub removed: Vec<String>,
    pub(crate) resource_versions: BTreeMap<String, String>,
    /// `control_plane.identifier` of the server.
    pub control_plane: String,
}

impl Update {
    /// The number and the stamp in the nonce, where it was made by a [`Response`].
    pub fn stamp(&self) -> Option<(u64, u64)> {
        let (number, stamp) = self.nonce.split_once('@')?;
        Some((number.parse().ok()?, stamp.parse().ok()?))
    }
}
