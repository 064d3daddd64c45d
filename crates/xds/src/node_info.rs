//! The node at the other end of a stream (`envoy.config.core.v3.Node`).

use std::collections::HashMap;

use xds_api::pb::envoy::config::core::v3::{Locality, Node};
use xds_api::pb::google::protobuf::{value::Kind, Struct, Value};

/// The node at the other end of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeInfo {
    /// Id of the node.
    pub id: String,
    /// Zone of the node (`Locality.zone`).
    pub zone: String,
    /// Requests per second that the node usually gets (metadata `rate`); 0 if it does not report a rate.
    pub rate: f64,
    /// Whether the node is new: no supervisor has sent it anything yet (metadata `standing_only`, an older name that other
    /// versions read).
    pub is_new: bool,
    /// Whether the node takes tables line by line ([`crate::leds`]); encoded as the client feature `LINES`.
    pub supports_lines: bool,
}

/// Client feature of nodes that take tables line by line. The specification defines none for it.
const LINES: &str = "shalereel.lines";

impl NodeInfo {
    /// Encodes the node as the message of the specification.
    pub fn encode(&self) -> Node {
        let value = |kind| Value { kind: Some(kind) };
        let fields = HashMap::from([
            ("rate".to_owned(), value(Kind::NumberValue(self.rate))),
            ("standing_only".to_owned(), value(Kind::BoolValue(self.is_new))),
        ]);
        Node {
            id: self.id.clone(),
            locality: Some(Locality { zone: self.zone.clone(), ..Locality::default() }),
            metadata: Some(Struct { fields }),
            user_agent_name: "shalereel".into(),
            client_features: self.supports_lines.then(|| LINES.to_owned()).into_iter().collect(),
            ..Node::default()
        }
    }

    /// Decodes a node; a field that is missing or of another type gets its default.
    pub fn decode(node: &Node) -> Self {
        let field = |name: &str| node.metadata.as_ref()?.fields.get(name)?.kind.as_ref();
        NodeInfo {
            id: node.id.clone(),
            zone: node.locality.as_ref().map(|locality| locality.zone.clone()).unwrap_or_default(),
            rate: match field("rate") {
                Some(&Kind::NumberValue(rate)) if rate.is_finite() && rate >= 0.0 => rate,
                _ => 0.0,
            },
            is_new: matches!(field("standing_only"), Some(Kind::BoolValue(true))),
            supports_lines: node.client_features.iter().any(|feature| feature == LINES),
        }
    }
}
