//! The serving side of one discovery stream: the client's subscriptions, and which responses it has acknowledged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel_rpc::{Code, Status};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use xds_api::pb::google::rpc;

use crate::{decoded, types, NodeInfo, Response, Variant};

/// Largest number of unacknowledged responses of one type that are tracked; acknowledgements of older ones are ignored.
const MAX_UNACKNOWLEDGED: usize = 1024;
/// Largest number of names of one type that a stream may subscribe to or report versions of.
const MAX_NAMES: usize = 4096;
/// Name that subscribes to all resources of a type.
const WILDCARD: &str = "*";

/// A request of a client, decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// The client's node, from its first message.
    Node(NodeInfo),
    /// The client subscribes to resources of a type that must be sent to it now.
    Subscribe {
        /// Type URL of the resources.
        type_url: String,
        /// Names within the type; `None` stands for all resources.
        names: Option<Vec<String>>,
    },
    /// The client has accepted the response with this nonce.
    Ack {
        /// Type URL of the resources.
        type_url: String,
        /// Number of the response.
        nonce: u64,
    },
    /// The client has rejected the response and keeps its state from before.
    Nack {
        /// Type URL of the resources.
        type_url: String,
        /// Number of the response.
        nonce: u64,
        /// Reason given by the client.
        reason: String,
    },
}

/// The client's subscription to one type of resource.
#[derive(Debug, Default)]
struct Subscription {
    names: BTreeSet<String>,
    /// Whether the client subscribes to all resources of the type.
    all: bool,
    /// Nonces of responses without an acknowledgement, the oldest first.
    unacknowledged: VecDeque<u64>,
    /// Version that the client had when it opened the stream.
    initial_version: String,
    /// Versions of individual resources that the client had when it opened the stream or subscribed again.
    resource_versions: BTreeMap<String, String>,
}

/// The serving side of one stream.
#[derive(Debug)]
pub struct ServerStream {
    variant: Variant,
    /// Whether the client has sent its node.
    has_node: bool,
    subscriptions: BTreeMap<String, Subscription>,
    /// Sent as `control_plane.identifier`.
    identifier: String,
}

/// A request of either protocol variant.
struct Request {
    node: Option<Node>,
    type_url: String,
    nonce: String,
    error: Option<rpc::Status>,
    subscribe: Vec<String>,
    /// Incremental only: names to unsubscribe from.
    unsubscribe: Vec<String>,
    initial_version: String,
    resource_versions: BTreeMap<String, String>,
}

impl Request {
    fn decode(variant: Variant, message: &[u8]) -> Result<Self, Status> {
        match variant {
            Variant::StateOfTheWorld => decoded(message, "DiscoveryRequest").map(Request::state_of_the_world),
            Variant::Incremental => decoded(message, "DeltaDiscoveryRequest").map(Request::incremental),
        }
    }

    fn state_of_the_world(request: DiscoveryRequest) -> Self {
        Request {
            node: request.node,
            type_url: request.type_url,
            nonce: request.response_nonce,
            error: request.error_detail,
            subscribe: request.resource_names,
            unsubscribe: Vec::new(),
            initial_version: request.version_info,
            resource_versions: BTreeMap::new(),
        }
    }

    fn incremental(request: DeltaDiscoveryRequest) -> Self {
        let resource_versions: BTreeMap<String, String> =
            request.initial_resource_versions.into_iter().collect();
        Request {
            node: request.node,
            type_url: request.type_url,
            nonce: request.response_nonce,
            error: request.error_detail,
            subscribe: request.resource_names_subscribe,
            unsubscribe: request.resource_names_unsubscribe,
            initial_version: resource_versions.values().max().cloned().unwrap_or_default(),
            resource_versions,
        }
    }
}

/// Whether the names in an acknowledgement are the client's current subscription.
#[derive(PartialEq, Eq)]
enum Names {
    Current,
    Outdated,
}

impl Subscription {
    /// Records the versions that the client has. A client that subscribes again to a name reports its version again; if it
    /// reports none, it has none.
    fn record_versions(&mut self, request: &mut Request) -> Result<(), Status> {
        self.resource_versions.retain(|name, _| !request.subscribe.contains(name));
        self.resource_versions.append(&mut request.resource_versions);
        if self.resource_versions.len() > MAX_NAMES {
            let text = format!("versions of more than {MAX_NAMES} resources");
            return Err(Status::new(Code::ResourceExhausted, text));
        }
        Ok(())
    }

    /// Handles the acknowledgement or rejection in a request, if there is one.
    fn acknowledge(&mut self, request: &mut Request, variant: Variant) -> (Option<ClientRequest>, Names) {
        if request.nonce.is_empty() {
            return (None, Names::Current);
        }
        let nonce = nonce_number(&request.nonce).filter(|nonce| self.unacknowledged.contains(nonce));
        let Some(nonce) = nonce else {
            // The nonce is from before a reconnect or no longer tracked, so the request does not show the current state.
            return (None, Names::Outdated);
        };
        let newest = self.unacknowledged.back() == Some(&nonce);
        self.unacknowledged.retain(|&other| other > nonce);
        let type_url = request.type_url.clone();
        let acknowledgement = match request.error.take() {
            Some(status) => ClientRequest::Nack { type_url, nonce, reason: status.message },
            None => ClientRequest::Ack { type_url, nonce },
        };
        // An acknowledgement of an older response has the names that the client wanted then, not the current ones.
        let outdated = !newest && variant == Variant::StateOfTheWorld;
        (Some(acknowledgement), if outdated { Names::Outdated } else { Names::Current })
    }

    /// Applies the names of a request to the subscription. `first`: the request is the first of its type on the stream.
    fn subscribe(
        &mut self,
        request: Request,
        variant: Variant,
        first: bool,
    ) -> Result<Option<ClientRequest>, Status> {
        for name in &request.unsubscribe {
            self.names.remove(name);
            self.all &= name != WILDCARD;
        }
        let type_url = request.type_url;
        let may_be_empty = [types::LISTENER, types::CLUSTER].contains(&type_url.as_str());
        let empty_means_all = first && request.subscribe.is_empty() && may_be_empty;
        let all = empty_means_all || request.subscribe.iter().any(|name| name == WILDCARD);
        let names: BTreeSet<String> = request.subscribe.into_iter().filter(|name| name != WILDCARD).collect();
        let added: Vec<String> = match variant {
            // If an incremental client subscribes again to a resource that it has, the resource is sent again.
            Variant::Incremental => names.iter().cloned().collect(),
            Variant::StateOfTheWorld => names.difference(&self.names).cloned().collect(),
        };
        match variant {
            Variant::StateOfTheWorld => self.names = names,
            Variant::Incremental => self.names.extend(names),
        }
        if self.names.len() > MAX_NAMES {
            let text = format!("more than {MAX_NAMES} names on one stream");
            return Err(Status::new(Code::ResourceExhausted, text));
        }
        if all && !self.all {
            self.all = true;
            return Ok(Some(ClientRequest::Subscribe { type_url, names: None }));
        }
        Ok((!added.is_empty()).then_some(ClientRequest::Subscribe { type_url, names: Some(added) }))
    }
}

/// The number of a response in its nonce, which precedes the stamp.
fn nonce_number(text: &str) -> Option<u64> {
    text.split('@').next()?.parse().ok()
}

impl ServerStream {
    /// Creates the state of a stream on which nothing was received yet. `identifier` is sent as `control_plane.identifier`.
    pub fn new(variant: Variant, identifier: &str) -> Self {
        ServerStream {
            variant,
            has_node: false,
            subscriptions: BTreeMap::new(),
            identifier: identifier.to_owned(),
        }
    }

    /// Handles one message of the client; returns the requests in it.
    ///
    /// # Errors
    ///
    /// The status with which the stream must end: the message cannot be decoded, is the first but has no node, subscribes to
    /// a type that is not served, or subscribes to too many names.
    pub fn handle(&mut self, message: &[u8]) -> Result<Vec<ClientRequest>, Status> {
        let mut request = Request::decode(self.variant, message)?;
        let mut requests = Vec::new();
        if !self.has_node {
            requests.push(ClientRequest::Node(first_node(request.node.take())?));
            self.has_node = true;
        }
        self.check_type(&request.type_url)?;
        let first = !self.subscriptions.contains_key(&request.type_url);
        let subscription = self.subscriptions.entry(request.type_url.clone()).or_default();
        if first {
            subscription.initial_version = std::mem::take(&mut request.initial_version);
        }
        subscription.record_versions(&mut request)?;
        let (acknowledgement, names) = subscription.acknowledge(&mut request, self.variant);
        requests.extend(acknowledgement);
        if names == Names::Current {
            requests.extend(subscription.subscribe(request, self.variant, first)?);
        }
        Ok(requests)
    }

    fn check_type(&self, type_url: &str) -> Result<(), Status> {
        let served = [types::LISTENER, types::ROUTES, types::CLUSTER, types::ASSIGNMENT];
        let is_line = type_url == types::LINE && self.variant == Variant::Incremental;
        if served.contains(&type_url) || is_line {
            return Ok(());
        }
        let text = format!("resources of type {type_url:?} are not served here");
        Err(Status::new(Code::InvalidArgument, text))
    }

    /// Whether the client subscribes to a resource.
    pub fn is_subscribed(&self, type_url: &str, name: &str) -> bool {
        self.subscriptions
            .get(type_url)
            .is_some_and(|subscription| subscription.all || subscription.names.contains(name))
    }

    /// The version of a type that the client had when it opened the stream (incremental: the greatest resource version,
    /// compared as text); empty if it had none.
    pub fn initial_version(&self, type_url: &str) -> &str {
        self.subscriptions.get(type_url).map_or("", |subscription| subscription.initial_version.as_str())
    }

    /// The version of one resource that the client had when it opened the stream or subscribed again.
    pub fn resource_version(&self, type_url: &str, name: &str) -> Option<&str> {
        self.subscriptions.get(type_url)?.resource_versions.get(name).map(String::as_str)
    }

    /// Records that a response with this nonce was sent and is to be acknowledged. Nonces must increase.
    pub fn expect_ack(&mut self, type_url: &str, nonce: u64) {
        let subscription = self.subscriptions.entry(type_url.to_owned()).or_default();
        subscription.unacknowledged.push_back(nonce);
        if subscription.unacknowledged.len() > MAX_UNACKNOWLEDGED {
            subscription.unacknowledged.pop_front();
        }
    }

    /// The variant of the protocol that the client speaks.
    pub fn variant(&self) -> Variant {
        self.variant
    }

    /// Encodes a response for this stream only, and records that it is to be acknowledged.
    pub fn encode_response(&mut self, response: Response) -> Vec<u8> {
        self.expect_ack(response.type_url, response.nonce);
        response.encode(self.variant, &self.identifier)
    }
}

fn first_node(node: Option<Node>) -> Result<NodeInfo, Status> {
    let node = node.filter(|node| !node.id.is_empty()).ok_or_else(|| {
        Status::new(Code::InvalidArgument, "the first request of a stream must name its node")
    })?;
    Ok(NodeInfo::decode(&node))
}
