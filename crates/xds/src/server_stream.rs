//! The serving side of one discovery stream: what its client subscribes to, and which responses it has acknowledged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shalereel_rpc::{Code, Status};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use xds_api::pb::google::rpc;

use crate::{decoded, types, NodeInfo, Response, Variant};

/// Unacknowledged responses of one type that are distinguished; older ones count as never acknowledged.
const MAX_UNACKNOWLEDGED: usize = 1024;
/// Names that one stream may subscribe to.
const MAX_NAMES: usize = 4096;
/// Subscribes to all resources of a type.
const WILDCARD: &str = "*";

/// What a client requested.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// Who it is; in its first message.
    Node(NodeInfo),
    /// Resources of a type that it had not subscribed to on this stream; `None` stands for all that there are.
    Subscribe {
        /// Type URL.
        type_url: String,
        /// Names within the type.
        names: Option<Vec<String>>,
    },
    /// It applies the response with this nonce.
    Ack {
        /// Type URL.
        type_url: String,
        /// Number of the response.
        nonce: u64,
    },
    /// It rejected the response and keeps what it had.
    Nack {
        /// Type URL.
        type_url: String,
        /// Number of the response.
        nonce: u64,
        /// The client's words.
        reason: String,
    },
}

/// What the client of a stream has said about one type of resource.
#[derive(Debug, Default)]
struct Subscription {
    names: BTreeSet<String>,
    all: bool,
    unacknowledged: VecDeque<u64>,
    /// Version that the client held when it opened the stream.
    initial_version: String,
    /// Versions of single resources that the client held when it opened the stream or subscribed anew.
    resource_versions: BTreeMap<String, String>,
}

/// The serving side of one stream.
#[derive(Debug)]
pub struct ServerStream {
    variant: Variant,
    node_known: bool,
    subscriptions: BTreeMap<String, Subscription>,
    identifier: String,
}

/// A request of either variant.
struct Request {
    node: Option<Node>,
    type_url: String,
    nonce: String,
    error: Option<rpc::Status>,
    subscribe: Vec<String>,
    /// Incremental only.
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

/// Whether names that come with an acknowledgement are what the client wants now.
#[derive(PartialEq, Eq)]
enum Names {
    Current,
    Outdated,
}

impl Subscription {
    /// Takes note of the versions that the client holds: one that subscribes anew says its version again, or none.
    fn note_versions(&mut self, request: &mut Request) -> Result<(), Status> {
        self.resource_versions.retain(|name, _| !request.subscribe.contains(name));
        self.resource_versions.append(&mut request.resource_versions);
        if self.resource_versions.len() > MAX_NAMES {
            let text = format!("versions of more than {MAX_NAMES} resources");
            return Err(Status::new(Code::ResourceExhausted, text));
        }
        Ok(())
    }

    /// Takes an acknowledgement or rejection.
    fn acknowledge(&mut self, request: &mut Request, variant: Variant) -> (Option<ClientRequest>, Names) {
        if request.nonce.is_empty() {
            return (None, Names::Current);
        }
        let nonce = nonce_number(&request.nonce).filter(|nonce| self.unacknowledged.contains(nonce));
        let Some(nonce) = nonce else {
            // From before a reconnect, or forgotten: it says nothing about the present.
            return (None, Names::Outdated);
        };
        let newest = self.unacknowledged.back() == Some(&nonce);
        self.unacknowledged.retain(|&other| other > nonce);
        let type_url = request.type_url.clone();
        let answer = match request.error.take() {
            Some(status) => ClientRequest::Nack { type_url, nonce, reason: status.message },
            None => ClientRequest::Ack { type_url, nonce },
        };
        // The names that go with an older response are not what the client wants by now.
        let outdated = !newest && variant == Variant::StateOfTheWorld;
        (Some(answer), if outdated { Names::Outdated } else { Names::Current })
    }

    /// Takes the names of a request. `first`: it is the first of its type on the stream.
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
            // Incremental clients may subscribe again to what they hold: it is sent again.
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

fn nonce_number(text: &str) -> Option<u64> {
    text.split('@').next()?.parse().ok()
}

impl ServerStream {
    /// A stream that nothing has come on. `identifier` goes out as `control_plane.identifier`.
    pub fn new(variant: Variant, identifier: &str) -> Self {
        ServerStream {
            variant,
            node_known: false,
            subscriptions: BTreeMap::new(),
            identifier: identifier.to_owned(),
        }
    }

    /// Takes one message.
    ///
    /// # Errors
    ///
    /// The status with which the stream is to be ended: the message cannot be decoded, names no node where it is the
    /// first, subscribes to a type that is not served, or to too much.
    pub fn handle(&mut self, message: &[u8]) -> Result<Vec<ClientRequest>, Status> {
        let mut request = Request::decode(self.variant, message)?;
        let mut requests = Vec::new();
        if !self.node_known {
            requests.push(ClientRequest::Node(first_node(request.node.take())?));
            self.node_known = true;
        }
        self.check_type(&request.type_url)?;
        let first = !self.subscriptions.contains_key(&request.type_url);
        let subscription = self.subscriptions.entry(request.type_url.clone()).or_default();
        if first {
            subscription.initial_version = std::mem::take(&mut request.initial_version);
        }
        subscription.note_versions(&mut request)?;
        let (answer, names) = subscription.acknowledge(&mut request, self.variant);
        requests.extend(answer);
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

    /// The version that the client held of a type when it opened the stream (incremental: the highest by text).
    pub fn initial_version(&self, type_url: &str) -> &str {
        self.subscriptions.get(type_url).map_or("", |subscription| subscription.initial_version.as_str())
    }

    /// The version of one resource that the client held when it opened the stream or subscribed anew.
    pub fn resource_version(&self, type_url: &str, name: &str) -> Option<&str> {
        self.subscriptions.get(type_url)?.resource_versions.get(name).map(String::as_str)
    }

    /// Expects an acknowledgement of a response with this nonce. Nonces grow from one to the next.
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

    /// Encodes a response to this stream alone, and expects its acknowledgement.
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
