//! The platform's protocol on the connections of proxies and collectors, and discovery's endpoint list. Each
//! message is one JSON object on a line. Wire names are mapped to the field's terms here and nowhere else.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message that a client of the supervisor sends.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "t")]
pub enum Message<'a> {
    /// Asks whether the supervisor is alive.
    #[serde(rename = "probe")]
    LivenessProbe {},
    /// A collector joins; it reports for a locality.
    #[serde(rename = "agent")]
    CollectorJoin {
        /// Name of the locality.
        #[serde(rename = "site", borrow)]
        locality: Cow<'a, str>,
    },
    /// A proxy joins.
    #[serde(rename = "hello", borrow)]
    ProxyJoin(ProxyJoin<'a>),
    /// A proxy has applied everything up to an ack request.
    #[serde(rename = "ack")]
    Acknowledgement(Acknowledgement),
    /// What the proxies of a locality observed at a server.
    #[serde(rename = "outcomes", borrow)]
    EndpointReport(EndpointReportMessage<'a>),
    /// Requests that came to a proxy.
    #[serde(rename = "demand", borrow)]
    DemandReport(DemandReportMessage<'a>),
}

/// See [`Message::ProxyJoin`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ProxyJoin<'a> {
    /// Which proxy.
    #[serde(rename = "id")]
    pub proxy: u32,
    /// Name of its locality.
    #[serde(rename = "site", borrow)]
    pub locality: Cow<'a, str>,
    /// Requests per second that it brings.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// No supervisor has sent it anything yet.
    #[serde(rename = "new")]
    pub is_new: bool,
}

/// See [`Message::Acknowledgement`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Acknowledgement {
    /// Which proxy.
    #[serde(rename = "id")]
    pub proxy: u32,
    /// Serial of the ack request.
    #[serde(rename = "seq")]
    pub serial: u64,
    /// Time from sending to applying, ms.
    #[serde(rename = "ms")]
    pub elapsed_ms: f64,
}

/// See [`Message::EndpointReport`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointReportMessage<'a> {
    /// Name of the locality.
    #[serde(rename = "site", borrow)]
    pub locality: Cow<'a, str>,
    /// Name of the server.
    #[serde(rename = "target", borrow)]
    pub server: Cow<'a, str>,
    /// Attempts that ended.
    #[serde(rename = "count")]
    pub attempts: u32,
    /// Those of them that failed.
    #[serde(rename = "fail")]
    pub failures: u32,
    /// Mean time of the successful attempts, ms; none where all failed.
    #[serde(rename = "mean")]
    pub response_time_ms: Option<f64>,
    /// Time that the report covers, ms.
    #[serde(rename = "over")]
    pub window_ms: f64,
    /// The server's load values by column name.
    #[serde(rename = "util")]
    pub load: Option<BTreeMap<String, f64>>,
}

/// See [`Message::DemandReport`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct DemandReportMessage<'a> {
    /// Which proxy.
    #[serde(rename = "id")]
    pub proxy: u32,
    /// Name of the operation.
    #[serde(rename = "lane", borrow)]
    pub operation: Cow<'a, str>,
    /// Requests.
    #[serde(rename = "count")]
    pub total: u32,
    /// Those of them that got no response.
    #[serde(rename = "fail")]
    pub failures: u32,
    /// Time that the report covers, ms.
    #[serde(rename = "over")]
    pub window_ms: f64,
}

/// Why a line is no [`Message`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The line is not JSON: what follows on the connection is in doubt too.
    #[error("malformed json")]
    MalformedJson,
    /// The line is JSON, but no message, or one with a missing or mistyped field.
    #[error("{0}")]
    InvalidMessage(String),
}

/// Decodes one line.
///
/// # Errors
/// The line is not JSON, or not a message of the protocol.
pub fn decode_message(line: &[u8]) -> Result<Message<'_>, DecodeError> {
    let first = line.iter().find(|byte| !byte.is_ascii_whitespace());
    if first != Some(&b'{') {
        return Err(DecodeError::MalformedJson);
    }
    serde_json::from_slice(line).map_err(|error| match error.classify() {
        serde_json::error::Category::Data => DecodeError::InvalidMessage(error.to_string()),
        _ => DecodeError::MalformedJson,
    })
}

/// The answer to a [`Message::LivenessProbe`].
pub const ALIVE_LINE: &[u8] = b"{\"t\":\"alive\"}\n";

/// Why a client is disconnected, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Its first message is not JSON.
    MalformedJson,
    /// Its first message is not one of the protocol.
    InvalidMessage,
    /// A collector names a locality that is not configured.
    UnknownLocality,
    /// A proxy is not one of the configured ones, or its locality or rate is invalid.
    UnknownProxy,
    /// It sent a report before it joined.
    ReportBeforeJoin,
    /// It did not join in time.
    JoinTimeout,
    /// Its message is too long, or all connections together buffer too much.
    MessageTooLong,
}

impl RejectReason {
    /// How the log names it.
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

/// The line that a client is sent before it is disconnected.
pub fn error_line(reason: RejectReason) -> Vec<u8> {
    let mut line = serde_json::json!({ "t": "error", "why": reason.wire_text() }).to_string().into_bytes();
    line.push(b'\n');
    line
}

/// One part of an update of a proxy's tables.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(tag = "t", rename = "push")]
pub struct TableUpdate<'a> {
    /// Operations that it is for, where not for all.
    #[serde(rename = "classes", skip_serializing_if = "Option::is_none")]
    pub operations: Option<Vec<&'a str>>,
    /// The table begins empty.
    #[serde(rename = "whole", skip_serializing_if = "is_false")]
    pub replaces_table: bool,
    /// Weight of servers by name; 0 removes one.
    #[serde(rename = "lines", skip_serializing_if = "Option::is_none")]
    pub weights: Option<Vec<(&'a str, f32)>>,
    /// Limit on admitted requests.
    #[serde(rename = "level", skip_serializing_if = "Option::is_none")]
    pub admission_limit: Option<f32>,
    /// When requests are retried: 0 never, 1 if not executed, 2 once, 3 twice.
    #[serde(rename = "retry", skip_serializing_if = "Option::is_none")]
    pub retry_policy: Option<u8>,
    /// Servers to exclude, whatever the tables say.
    #[serde(rename = "out", skip_serializing_if = "Vec::is_empty")]
    pub exclude: Vec<&'a str>,
    /// Servers to exclude no more.
    #[serde(rename = "back", skip_serializing_if = "Vec::is_empty")]
    pub include: Vec<&'a str>,
    /// An acknowledgement with this serial is requested.
    #[serde(rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub ack_serial: Option<u64>,
    /// Another part of the same update follows.
    #[serde(rename = "more", skip_serializing_if = "is_false")]
    pub is_continued: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl TableUpdate<'_> {
    /// Lines that it occupies in the channel, without the overhead of its message.
    pub fn channel_lines(&self) -> u64 {
        let flags = [self.replaces_table, self.admission_limit.is_some(), self.ack_serial.is_some()];
        let set_flags = flags.into_iter().filter(|&is_set| is_set).count();
        let weights = self.weights.as_ref().map_or(0, Vec::len);
        (set_flags + weights + self.exclude.len() + self.include.len()) as u64
    }

    /// Appends it as a line.
    pub fn write_line(&self, out: &mut Vec<u8>) {
        // A struct of numbers and strings can always be serialized.
        if serde_json::to_writer(&mut *out, self).is_ok() {
            out.push(b'\n');
        }
    }
}

/// Discovery's endpoint list, or its changes.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Grows with each list.
    pub version: u64,
    /// The list is complete; otherwise it has only the servers that changed.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// A [`ListEntry`] per server, decoded one by one: an invalid entry must not cost the others.
    #[serde(rename = "servers")]
    pub entries: Vec<serde_json::Value>,
}

/// One server of an [`EndpointList`].
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListEntry {
    /// Its name.
    #[serde(rename = "id")]
    pub name: String,
    /// Socket address; one that cannot be parsed counts as none.
    #[serde(rename = "addr")]
    pub address: String,
    /// Name of its locality.
    #[serde(rename = "zone")]
    pub locality: String,
    /// Name of its hardware kind.
    pub kind: String,
    /// Group of servers within the locality.
    pub cell: u16,
    /// Whether it takes requests.
    pub state: ListedState,
    /// Listed weight.
    pub weight: f64,
    /// Unix time of its last start, ms; 0: long ago.
    #[serde(default)]
    pub started_ms: f64,
}

/// Whether a server takes requests, as discovery names it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    #[serde(rename = "Terminating")]
    Draining,
    /// It is no longer listed.
    #[serde(rename = "Gone")]
    Removed,
}
