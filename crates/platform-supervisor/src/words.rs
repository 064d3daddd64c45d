//! The platform's words: messages in, pushes out. Each is one JSON object on a line. Nothing is decided here.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What comes at the supervisor's address.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "t", rename_all = "lowercase")]
pub enum Said<'a> {
    Probe {},
    Agent {
        #[serde(borrow)]
        site: Cow<'a, str>,
    },
    Hello {
        id: u32,
        #[serde(borrow)]
        site: Cow<'a, str>,
        rps: f64,
        new: bool,
    },
    Ack {
        id: u32,
        seq: u64,
        ms: f64,
    },
    Outcomes {
        #[serde(borrow)]
        site: Cow<'a, str>,
        #[serde(borrow)]
        target: Cow<'a, str>,
        count: u32,
        fail: u32,
        /// There is none where all tries failed.
        mean: Option<f64>,
        over: f64,
        util: Option<BTreeMap<String, f64>>,
    },
    Demand {
        id: u32,
        #[serde(borrow)]
        lane: Cow<'a, str>,
        count: u32,
        fail: u32,
        over: f64,
    },
}

/// Why a line is no message.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Unread {
    /// Not JSON: what follows on the connection is in doubt too.
    #[error("not JSON")]
    Noise,
    /// JSON, but not one of these messages, or a field is missing or of another type.
    #[error("{0}")]
    Spoilt(String),
}

/// Reads one line.
pub fn read(line: &[u8]) -> Result<Said<'_>, Unread> {
    let start = line.iter().find(|byte| !byte.is_ascii_whitespace());
    if start != Some(&b'{') {
        return Err(Unread::Noise);
    }
    serde_json::from_slice(line).map_err(|error| match error.classify() {
        serde_json::error::Category::Data => Unread::Spoilt(error.to_string()),
        _ => Unread::Noise,
    })
}

pub const ALIVE: &[u8] = b"{\"t\":\"alive\"}\n";

/// The answer to a client that is of no use, before it is closed.
pub fn error(why: &str) -> Vec<u8> {
    let mut line = serde_json::json!({ "t": "error", "why": why }).to_string().into_bytes();
    line.push(b'\n');
    line
}

/// One part of an order on a stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(tag = "t", rename = "push")]
pub struct Push<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<&'a str>>,
    #[serde(skip_serializing_if = "not")]
    pub whole: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lines: Option<Vec<(&'a str, f32)>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub level: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry: Option<u8>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub out: Vec<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub back: Vec<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ticket: Option<u64>,
    #[serde(skip_serializing_if = "not")]
    pub more: bool,
}

fn not(flag: &bool) -> bool {
    !flag
}

impl Push<'_> {
    /// Lines that it counts as in the channel, without the head of its message.
    pub fn counted(&self) -> u64 {
        let flags = [self.whole, self.level.is_some(), self.ticket.is_some()];
        let flags = flags.into_iter().filter(|&there| there).count();
        (flags + self.lines.as_ref().map_or(0, Vec::len) + self.out.len() + self.back.len()) as u64
    }

    /// Appends it as a line.
    pub fn write(&self, out: &mut Vec<u8>) {
        // A struct of numbers and texts can always be written.
        if serde_json::to_writer(&mut *out, self).is_ok() {
            out.push(b'\n');
        }
    }
}

/// The list of servers, whole or what changed.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<serde_json::Value>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listed {
    pub id: String,
    pub addr: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub state: State,
    pub weight: f64,
    #[serde(default)]
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}
