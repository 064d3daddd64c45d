//! The subscribing side of discovery streams. Its state outlives a stream: each new stream begins with all subscriptions.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use prost::Message;
use shalereel_rpc::{Code, Status};
use xds_api::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use xds_api::pb::google::rpc;

use crate::{decoded, NodeInfo, Update, Variant};

/// Why a request is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// To subscribe to more names, or to all of them on a new stream.
    Subscribe,
    /// To subscribe again to names that the client subscribes to already.
    Resubscribe,
    /// To acknowledge or reject a response.
    Acknowledge,
}

/// The client's subscription to one type of resource, and the versions that it has.
#[derive(Debug, Default)]
struct Subscription {
    names: BTreeSet<String>,
    /// Version of the last response that was acknowledged.
    version: String,
    /// Nonce of the last response that was acknowledged or rejected on this stream; empty if there is none.
    nonce: String,
    /// Versions of the individual resources that the client has.
    resource_versions: BTreeMap<String, String>,
}

/// The subscribing side of the successive streams to one server.
#[derive(Debug)]
pub struct ClientStream {
    variant: Variant,
    /// The client's node, sent in the first request of each stream.
    pub node: NodeInfo,
    node_sent: bool,
    subscriptions: BTreeMap<String, Subscription>,
}

impl ClientStream {
    /// Creates the client's state, without any subscription.
    pub fn new(variant: Variant, node: NodeInfo) -> Self {
        ClientStream { variant, node, node_sent: false, subscriptions: BTreeMap::new() }
    }

    /// Subscribes to more names of a type; returns the request to send.
    pub fn subscribe(&mut self, type_url: &str, names: impl IntoIterator<Item = String>) -> Vec<u8> {
        let names: Vec<String> = names.into_iter().collect();
        self.subscriptions.entry(type_url.to_owned()).or_default().names.extend(names.iter().cloned());
        self.request(type_url, names, Purpose::Subscribe, None)
    }

    /// Subscribes again to names, each with the version that the client has, if any; returns the request to send.
    pub fn resubscribe(&mut self, type_url: &str, names: BTreeMap<String, Option<String>>) -> Vec<u8> {
        let subscription = self.subscriptions.entry(type_url.to_owned()).or_default();
        subscription.names.extend(names.keys().cloned());
        for (name, version) in &names {
            match version {
                Some(version) => subscription.resource_versions.insert(name.clone(), version.clone()),
                None => subscription.resource_versions.remove(name),
            };
        }
        self.request(type_url, names.into_keys().collect(), Purpose::Resubscribe, None)
    }

    /// Removes a name and the version that the client has of it. No request is sent.
    pub fn unsubscribe(&mut self, type_url: &str, name: &str) {
        if let Some(subscription) = self.subscriptions.get_mut(type_url) {
            subscription.names.remove(name);
            subscription.resource_versions.remove(name);
        }
    }

    /// Replaces the versions that updates have recorded by those that the client actually has.
    pub fn set_resource_versions(&mut self, type_url: &str, versions: BTreeMap<String, String>) {
        if let Some(subscription) = self.subscriptions.get_mut(type_url) {
            subscription.resource_versions = versions;
        }
    }

    /// Begins a new stream; returns the requests that open it, one for each type.
    pub fn reopen(&mut self) -> Vec<Vec<u8>> {
        self.node_sent = false;
        self.subscriptions.values_mut().for_each(|subscription| subscription.nonce.clear());
        let types: Vec<(String, Vec<String>)> = self
            .subscriptions
            .iter()
            .map(|(url, subscription)| (url.clone(), subscription.names.iter().cloned().collect()))
            .collect();
        types.into_iter().map(|(url, names)| self.request(&url, names, Purpose::Subscribe, None)).collect()
    }

    /// Decodes a response.
    ///
    /// # Errors
    ///
    /// The message cannot be decoded, or the client does not subscribe to its type.
    pub fn handle(&mut self, message: &[u8]) -> Result<Update, Status> {
        let update = match self.variant {
            Variant::StateOfTheWorld => {
                let response: DiscoveryResponse = decoded(message, "DiscoveryResponse")?;
                Update {
                    type_url: response.type_url,
                    version: response.version_info,
                    nonce: response.nonce,
                    resources: response.resources,
                    names: Vec::new(),
                    removed: Vec::new(),
                    resource_versions: BTreeMap::new(),
                    control_plane: response.control_plane.map(|plane| plane.identifier).unwrap_or_default(),
                }
            }
            Variant::Incremental => {
                let response: DeltaDiscoveryResponse = decoded(message, "DeltaDiscoveryResponse")?;
                let resources = response.resources;
                Update {
                    type_url: response.type_url,
                    version: response.system_version_info,
                    nonce: response.nonce,
                    resource_versions: resources
                        .iter()
                        .map(|r| (r.name.clone(), r.version.clone()))
                        .collect(),
                    names: resources.iter().map(|resource| resource.name.clone()).collect(),
                    resources: resources.into_iter().filter_map(|resource| resource.resource).collect(),
                    removed: response.removed_resources,
                    control_plane: response.control_plane.map(|plane| plane.identifier).unwrap_or_default(),
                }
            }
        };
        if !self.subscriptions.contains_key(&update.type_url) {
            let text = format!("resources of type {:?} were not asked for", update.type_url);
            return Err(Status::new(Code::InvalidArgument, text));
        }
        Ok(update)
    }

    /// Acknowledges an update that was applied; returns the request to send.
    pub fn ack(&mut self, update: &Update) -> Vec<u8> {
        if let Some(subscription) = self.subscriptions.get_mut(&update.type_url) {
            (subscription.version, subscription.nonce) = (update.version.clone(), update.nonce.clone());
            subscription.resource_versions.extend(update.resource_versions.clone());
            update.removed.iter().for_each(|name| drop(subscription.resource_versions.remove(name)));
        }
        self.request(&update.type_url, Vec::new(), Purpose::Acknowledge, None)
    }

    /// Rejects an update, so that the versions before it stay in force; returns the request to send.
    pub fn nack(&mut self, update: &Update, reason: String) -> Vec<u8> {
        if let Some(subscription) = self.subscriptions.get_mut(&update.type_url) {
            subscription.nonce.clone_from(&update.nonce);
        }
        self.request(&update.type_url, Vec::new(), Purpose::Acknowledge, Some(reason))
    }

    /// Encodes a request. `names`: the names to subscribe to, which only incremental requests contain; a state-of-the-world
    /// request always contains all names. `reason`: why a response is rejected.
    fn request(
        &mut self,
        url: &str,
        names: Vec<String>,
        purpose: Purpose,
        reason: Option<String>,
    ) -> Vec<u8> {
        let first = !std::mem::replace(&mut self.node_sent, true);
        let node = first.then(|| self.node.encode());
        let error_detail = reason.map(|message| rpc::Status {
            code: Code::InvalidArgument as i32,
            message,
            ..rpc::Status::default()
        });
        let subscription = self.subscriptions.entry(url.to_owned()).or_default();
        match self.variant {
            Variant::StateOfTheWorld => DiscoveryRequest {
                version_info: subscription.version.clone(),
                node,
                resource_names: subscription.names.iter().cloned().collect(),
                type_url: url.to_owned(),
                response_nonce: subscription.nonce.clone(),
                error_detail,
                ..DiscoveryRequest::default()
            }
            .encode_to_vec(),
            Variant::Incremental => DeltaDiscoveryRequest {
                node,
                type_url: url.to_owned(),
                initial_resource_versions: subscription.reported_versions(purpose, &names),
                resource_names_subscribe: names,
                response_nonce: match purpose {
                    Purpose::Acknowledge => subscription.nonce.clone(),
                    Purpose::Subscribe | Purpose::Resubscribe => String::new(),
                },
                error_detail,
                ..DeltaDiscoveryRequest::default()
            }
            .encode_to_vec(),
        }
    }
}

impl Subscription {
    /// The versions that a request reports as present: all when it opens a stream, and those of `names` when it subscribes to
    /// them again.
    fn reported_versions(&self, purpose: Purpose, names: &[String]) -> HashMap<String, String> {
        match purpose {
            Purpose::Subscribe if self.nonce.is_empty() => {
                self.resource_versions.clone().into_iter().collect()
            }
            Purpose::Resubscribe => names
                .iter()
                .filter_map(|name| Some((name.clone(), self.resource_versions.get(name)?.clone())))
                .collect(),
            Purpose::Subscribe | Purpose::Acknowledge => HashMap::new(),
        }
    }
}
