//! The platform's protocol with proxies and collectors, and the format of discovery's endpoint list. Each
//! message is one JSON object on one line. The names on the wire are mapped to this crate's terms here and
//! nowhere else.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use serde::de::{Deserializer, MapAccess, Visitor};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of load values that are kept of a report; far more than a deployment has columns.
const MAX_LOAD_VALUES: usize = 256;

/// A message that a client of the supervisor sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    /// A client checks whether the supervisor is alive.
    LivenessProbe {},
    /// A collector joins. It reports on behalf of the proxies of a locality.
    CollectorJoin {
        /// Name of the locality.
        locality: Cow<'a, str>,
    },
    /// A proxy joins.
    ProxyJoin(ProxyJoin<'a>),
    /// A proxy has applied all updates up to an ack request.
    Acknowledgement(Acknowledgement),
    /// Attempts of the proxies of a locality at one server, and their results.
    EndpointReport(EndpointReportMessage<'a>),
    /// Requests for one operation that a proxy received.
    DemandReport(DemandReportMessage<'a>),
}

/// The kind of a message. It is decoded before the other fields, since a decoder that learns the kind as it goes holds all
/// fields in memory.
#[derive(Deserialize)]
enum MessageKind {
    #[serde(rename = "probe")]
    LivenessProbe,
    #[serde(rename = "agent")]
    CollectorJoin,
    #[serde(rename = "hello")]
    ProxyJoin,
    #[serde(rename = "ack")]
    Acknowledgement,
    #[serde(rename = "outcomes")]
    EndpointReport,
    #[serde(rename = "demand")]
    DemandReport,
}

#[derive(Deserialize)]
struct KindField {
    #[serde(rename = "t")]
    kind: MessageKind,
}

/// The fields of [`Message::CollectorJoin`].
#[derive(Deserialize)]
struct CollectorJoin<'a> {
    #[serde(rename = "site", borrow)]
    locality: Cow<'a, str>,
}

/// The fields of [`Message::ProxyJoin`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ProxyJoin<'a> {
    /// Identifier of the proxy.
    #[serde(rename = "id")]
    pub proxy: u32,
    /// Name of its locality.
    #[serde(rename = "site", borrow)]
    pub locality: Cow<'a, str>,
    /// Requests per second that it receives.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Whether no supervisor has sent it anything yet.
    #[serde(rename = "new")]
    pub is_new: bool,
}

/// The fields of [`Message::Acknowledgement`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Acknowledgement {
    /// Identifier of the proxy.
    #[serde(rename = "id")]
    pub proxy: u32,
    /// Serial of the ack request.
    #[serde(rename = "seq")]
    pub serial: u64,
    /// Time from the sending of the ack request to its application by the proxy, ms.
    #[serde(rename = "ms")]
    pub elapsed_ms: f64,
}

/// The fields of [`Message::EndpointReport`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointReportMessage<'a> {
    /// Name of the locality.
    #[serde(rename = "site", borrow)]
    pub locality: Cow<'a, str>,
    /// Name of the server.
    #[serde(rename = "target", borrow)]
    pub server: Cow<'a, str>,
    /// Number of attempts that ended within the window.
    #[serde(rename = "count")]
    pub attempts: u32,
    /// Number of those attempts that failed.
    #[serde(rename = "fail")]
    pub failures: u32,
    /// Mean response time of the successful attempts, ms; `None` if all failed.
    #[serde(rename = "mean")]
    pub response_time_ms: Option<f64>,
    /// Length of the window that the report covers, ms.
    #[serde(rename = "over")]
    pub window_ms: f64,
    /// The server's load values by column name.
    #[serde(rename = "util", default, deserialize_with = "load_values")]
    pub load: Option<BTreeMap<String, f64>>,
}

/// The fields of [`Message::DemandReport`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DemandReportMessage<'a> {
    /// Identifier of the proxy.
    #[serde(rename = "id")]
    pub proxy: u32,
    /// Name of the operation.
    #[serde(rename = "lane", borrow)]
    pub operation: Cow<'a, str>,
    /// Number of requests in the window.
    #[serde(rename = "count")]
    pub total: u32,
    /// Number of those requests that got no response.
    #[serde(rename = "fail")]
    pub failures: u32,
    /// Length of the window that the report covers, ms.
    #[serde(rename = "over")]
    pub window_ms: f64,
}

/// Why a line cannot be decoded as a [`Message`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The line is not a JSON object. The lines that follow on the connection may be misaligned too.
    #[error("malformed json")]
    MalformedJson,
    /// The line is a JSON object, but not a message of the protocol, or a field is missing or mistyped.
    #[error("{0}")]
    InvalidMessage(String),
}

/// Decodes one line as a message.
///
/// # Errors
/// The line is not a JSON object, or not a message of the protocol.
pub fn decode_message(line: &[u8]) -> Result<Message<'_>, DecodeError> {
    let first = line.iter().find(|byte| !byte.is_ascii_whitespace());
    if first != Some(&b'{') {
        return Err(DecodeError::MalformedJson);
    }
    decode_object(line).map_err(|error| match error.classify() {
        serde_json::error::Category::Data => DecodeError::InvalidMessage(error.to_string()),
        _ => DecodeError::MalformedJson,
    })
}

fn decode_object(line: &[u8]) -> Result<Message<'_>, serde_json::Error> {
    let KindField { kind } = serde_json::from_slice(line)?;
    Ok(match kind {
        MessageKind::LivenessProbe => Message::LivenessProbe {},
        MessageKind::CollectorJoin => {
            let CollectorJoin { locality } = serde_json::from_slice(line)?;
            Message::CollectorJoin { locality }
        }
        MessageKind::ProxyJoin => Message::ProxyJoin(serde_json::from_slice(line)?),
        MessageKind::Acknowledgement => Message::Acknowledgement(serde_json::from_slice(line)?),
        MessageKind::EndpointReport => Message::EndpointReport(serde_json::from_slice(line)?),
        MessageKind::DemandReport => Message::DemandReport(serde_json::from_slice(line)?),
    })
}

/// Decodes load values, of which the first [`MAX_LOAD_VALUES`] are kept.
fn load_values<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<BTreeMap<String, f64>>, D::Error> {
    Ok(Option::<LoadValues>::deserialize(deserializer)?.map(|LoadValues(values)| values))
}

struct LoadValues(BTreeMap<String, f64>);

impl<'de> Deserialize<'de> for LoadValues {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(LoadValuesVisitor)
    }
}

struct LoadValuesVisitor;

impl<'de> Visitor<'de> for LoadValuesVisitor {
    type Value = LoadValues;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a map of load values")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<LoadValues, A::Error> {
        let mut values = BTreeMap::new();
        while let Some((column, value)) = map.next_entry::<String, f64>()? {
            if values.len() < MAX_LOAD_VALUES {
                values.insert(column, value);
            }
        }
        Ok(LoadValues(values))
    }
}

/// The line that answers a [`Message::LivenessProbe`].
pub const ALIVE_LINE: &[u8] = b"{\"t\":\"alive\"}\n";

/// The reason that a client is sent before it is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Its first message is not a JSON object.
    MalformedJson,
    /// Its first message is not one of the protocol.
    InvalidMessage,
    /// A collector names a locality that is not configured.
    UnknownLocality,
    /// The identifier of a proxy is beyond the configured number of proxies, or its locality or rate is
    /// invalid.
    UnknownProxy,
    /// It sent a report before it joined.
    ReportBeforeJoin,
    /// It did not join before the deadline.
    JoinTimeout,
    /// Its message exceeds the length limit, or the incomplete messages of all connections together exceed
    /// their common limit.
    MessageTooLong,
}

impl RejectReason {
    /// The name of the reason in the log.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::MalformedJson => "malformed first message",
            RejectReason::InvalidMessage => "invalid first message",
            RejectReason::UnknownLocality => "collector of unknown zone",
            RejectReason::UnknownProxy => "unknown proxy, zone or rate",
            RejectReason::ReportBeforeJoin => "report before joining",
            RejectReason::JoinTimeout => "join timeout",
            RejectReason::MessageTooLong => "message too long",
        }
    }

    /// The text of the error line.
    fn wire_text(self) -> &'static str {
        match self {
            RejectReason::MalformedJson => "not JSON",
            RejectReason::InvalidMessage => "no message of the protocol",
            RejectReason::UnknownLocality => "collector of an unknown zone",
            RejectReason::UnknownProxy => "proxy that does not exist",
            RejectReason::ReportBeforeJoin => "report before joining",
            RejectReason::JoinTimeout => "not joined in time",
            RejectReason::MessageTooLong => "message without end",
        }
    }
}

/// Encodes the line that a client is sent before it is disconnected.
pub fn error_line(reason: RejectReason) -> Vec<u8> {
    let mut line = serde_json::json!({ "t": "error", "why": reason.wire_text() }).to_string().into_bytes();
    line.push(b'\n');
    line
}

/// One part of an update of a proxy's tables.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(tag = "t", rename = "push")]
pub struct TableUpdate<'a> {
    /// Names of the operations that it applies to; `None` stands for all.
    #[serde(rename = "classes", skip_serializing_if = "Option::is_none")]
    pub operations: Option<Vec<&'a str>>,
    /// Whether the table is emptied before the weights are applied.
    #[serde(rename = "whole", skip_serializing_if = "is_false")]
    pub replaces_table: bool,
    /// Names of servers and their weights; a weight of 0 removes the server from the table.
    #[serde(rename = "lines", skip_serializing_if = "Option::is_none")]
    pub weights: Option<Vec<(&'a str, f32)>>,
    /// Limit on admitted requests, in the unit of the configured [`AdmissionMode`].
    ///
    /// [`AdmissionMode`]: shalereel::interface::AdmissionMode
    #[serde(rename = "level", skip_serializing_if = "Option::is_none")]
    pub admission_limit: Option<f32>,
    /// Code of the policy by which requests are retried: 0 never, 1 if not executed, 2 once, 3 twice.
    #[serde(rename = "retry", skip_serializing_if = "Option::is_none")]
    pub retry_policy: Option<u8>,
    /// Names of servers to exclude, whatever their weights.
    #[serde(rename = "out", skip_serializing_if = "Vec::is_empty")]
    pub exclude: Vec<&'a str>,
    /// Names of servers whose exclusion ends.
    #[serde(rename = "back", skip_serializing_if = "Vec::is_empty")]
    pub include: Vec<&'a str>,
    /// Serial of the ack request, if an acknowledgement is requested.
    #[serde(rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub ack_serial: Option<u64>,
    /// Whether another part of the same update follows.
    #[serde(rename = "more", skip_serializing_if = "is_false")]
    pub is_continued: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl TableUpdate<'_> {
    /// Number of lines that this part occupies in the channel, without the overhead of its message.
    pub fn channel_lines(&self) -> u64 {
        let flags = [self.replaces_table, self.admission_limit.is_some(), self.ack_serial.is_some()];
        let set_flags = flags.into_iter().filter(|&is_set| is_set).count();
        let weights = self.weights.as_ref().map_or(0, Vec::len);
        (set_flags + weights + self.exclude.len() + self.include.len()) as u64
    }

    /// Appends the encoded line to `out`.
    pub fn write_line(&self, out: &mut Vec<u8>) {
        // Serialization of numbers and strings to memory cannot fail.
        if serde_json::to_writer(&mut *out, self).is_ok() {
            out.push(b'\n');
        }
    }
}

/// Discovery's full endpoint list, or the changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list; it grows with each change.
    pub version: u64,
    /// Whether the list is complete; otherwise it contains only the servers that changed.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// One `ListEntry` per server. They are decoded one by one, so that an invalid entry does not invalidate
    /// the others.
    #[serde(rename = "servers")]
    pub entries: Vec<serde_json::Value>,
}

/// One server of an [`EndpointList`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListEntry {
    /// Name of the server.
    #[serde(rename = "id")]
    pub name: String,
    /// Socket address; a server whose address cannot be parsed gets no health checks.
    #[serde(rename = "addr")]
    pub address: String,
    /// Name of its locality.
    #[serde(rename = "zone")]
    pub locality: String,
    /// Name of its hardware kind.
    pub kind: String,
    /// Index of its cell, a group of servers within the locality.
    pub cell: u16,
    /// Whether it accepts requests.
    pub state: ListedState,
    /// Its listed weight.
    pub weight: f64,
    /// Unix time of its last start, ms; 0 if it started long ago.
    #[serde(default)]
    pub started_ms: f64,
}

/// Whether a server accepts requests, by discovery's names.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts requests.
    Ready,
    /// It only finishes the requests that it has accepted.
    #[serde(rename = "Terminating")]
    Draining,
    /// It is no longer listed.
    #[serde(rename = "Gone")]
    Removed,
}
