//! Operators' questions and orders about tables, answered on a listener of their own: protobuf messages by gRPC, the
//! answer's content as JSON. Nothing is decided here.

use prost::{Message, Oneof};
use serde_json::{json, Value};
use shalereel::interface::Nanos;
use shalereel_guard::Availability;
use shalereel_rpc::{Code, Status};
use shalereel_store::{
    ConstraintError, Line, Lines, Provenance, SkipReason, Version, VersionNumber, UNIT_WEIGHT,
};

use crate::tables::{Facts, Tables};

/// The method: one ask, one answer.
pub const ADMIN: &str = "/shalereel.admin.v1.Tables/Ask";

#[derive(Clone, PartialEq, Message)]
pub struct AdminAsk {
    #[prost(oneof = "Question", tags = "1, 2, 3, 4, 5, 6")]
    pub question: Option<Question>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Question {
    #[prost(message, tag = "1")]
    List(List),
    #[prost(message, tag = "2")]
    Show(Show),
    #[prost(message, tag = "3")]
    Diff(Diff),
    #[prost(message, tag = "4")]
    Back(Back),
    #[prost(message, tag = "5")]
    Onward(Onward),
    #[prost(message, tag = "6")]
    Hold(HoldOne),
}

/// The newest versions, so many of them at most.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct List {
    #[prost(uint32, tag = "1")]
    pub last: u32,
}

/// The lines of a version; 0: the newest of all.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Show {
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// What differs from one version to another of the same table.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Diff {
    #[prost(uint64, tag = "1")]
    pub from: u64,
    #[prost(uint64, tag = "2")]
    pub to: u64,
}

/// The way back to a version's weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Back {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(uint64, tag = "2")]
    pub for_ms: u64,
    #[prost(bool, tag = "3")]
    pub dry_run: bool,
    #[prost(string, tag = "4")]
    pub who: String,
    #[prost(string, tag = "5")]
    pub why: String,
}

/// A server held at most at a part of its weight, for a time; without a time, an end to that.
#[derive(Clone, PartialEq, Message)]
pub struct HoldOne {
    #[prost(uint32, tag = "1")]
    pub server: u32,
    #[prost(double, tag = "2")]
    pub part: f64,
    #[prost(uint64, tag = "3")]
    pub for_ms: u64,
    #[prost(string, tag = "4")]
    pub who: String,
    #[prost(string, tag = "5")]
    pub why: String,
}

/// An end to all ways back.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Onward {}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct AdminAnswer {
    /// JSON.
    #[prost(string, tag = "1")]
    pub told: String,
}

fn stays(reason: SkipReason) -> &'static str {
    match reason {
        SkipReason::NotInTable => "it is out of the table",
        SkipReason::Draining => "it drains",
        SkipReason::UnavailableSince => "it was out of the table or draining since",
        SkipReason::WarmingUp => "it is cold",
        SkipReason::Restarted => "it has restarted since",
        SkipReason::NotInEarlierVersion => "that version did not have it",
        SkipReason::WeightMovedTooFar => "its weight was moved too far since",
    }
}

fn line(line: &Line) -> Value {
    json!({
        "address": line.address.to_string(),
        "weight": f64::from(line.weight) / UNIT_WEIGHT,
        "draining": line.draining,
    })
}

fn head(version: &Version) -> Value {
    json!({
        "version": version.number, "table": version.table, "parent": version.parent,
        "at_ms": version.published_at / 1_000_000, "who": version.provenance.actor, "why": version.provenance.reason,
        "lines": version.digest.count, "changed": version.changes.len(), "check": version.check().to_string(),
    })
}

fn refused(refusal: ConstraintError) -> Status {
    Status::new(Code::FailedPrecondition, refusal.to_string())
}

fn at(tables: &Tables, version: VersionNumber) -> Result<(u16, Lines), Status> {
    tables.store.lines_at(version).ok_or_else(|| refused(ConstraintError::UnknownVersion(version)))
}

/// Answers one message. Errors: it is none of ours, or what it asks for cannot be had, and why.
pub fn answer(tables: &mut Tables, facts: &Facts, message: &[u8]) -> Result<Vec<u8>, Status> {
    let unreadable = |text: String| Status::new(Code::InvalidArgument, text);
    let ask = AdminAsk::decode(message).map_err(|error| unreadable(format!("not an AdminAsk: {error}")))?;
    let question = ask.question.ok_or_else(|| unreadable("a question of a later version".into()))?;
    let told = match question {
        Question::List(List { last }) => list(tables, facts, last as usize),
        Question::Show(Show { version }) => {
            let newest = tables.store.versions().last().map_or(0, |newest| newest.number);
            let version = if version == 0 { newest } else { version };
            let (table, lines) = at(tables, version)?;
            // What the list says of it now, so that expectations can be run against what is printed.
            let known = tables.pool(facts);
            let row = |(server, told): (&u32, &Line)| {
                let known = known.get(server);
                json!({
                    "server": server, "line": line(told),
                    "locality": facts.roster.endpoint(*server).map(|place| place.zone.clone()),
                    "out": known.is_none_or(|known| known.0.availability == Availability::Unavailable),
                    "able": known.map_or(0.0, |known| known.1), "listed": known.map_or(0.0, |known| known.0.capacity),
                })
            };
            let lines: Vec<Value> = lines.iter().map(row).collect();
            let made = tables.store.version(version).map(head);
            json!({ "version": version, "table": table, "made": made, "lines": lines })
        }
        Question::Diff(Diff { from, to }) => diff(tables, from, to)?,
        Question::Back(back) => {
            let who = if back.who.is_empty() { "operator" } else { &back.who };
            let reason = format!("back to {}: {}", back.version, back.why);
            let span: Nanos = back.for_ms.saturating_mul(1_000_000);
            let why = Provenance::new(who, reason);
            let (table, plan) = tables.back(back.version, span, why, back.dry_run, facts).map_err(refused)?;
            json!({
                "table": table, "to": back.version, "dry_run": back.dry_run, "takes": plan.restored,
                "moves": plan.factors.iter().map(|(server, part)| json!({
                    "server": server, "now": tables.weight(table, *server), "times": part,
                })).collect::<Vec<_>>(),
                "stays": plan.skipped.iter().map(|(server, reason)| json!({
                    "server": server, "why": stays(*reason),
                })).collect::<Vec<_>>(),
            })
        }
        Question::Hold(HoldOne { server, part, for_ms, who, why }) => {
            let hold =
                (for_ms > 0).then(|| (part, for_ms.saturating_mul(1_000_000), Provenance::new(&who, why)));
            let held = hold.is_some();
            tables.hold_one(server, hold, facts.now).map_err(refused)?;
            json!({ "server": server, "held": held })
        }
        Question::Onward(Onward {}) => json!({ "ended": tables.onward() }),
    };
    Ok(AdminAnswer { told: told.to_string() }.encode_to_vec())
}

fn list(tables: &Tables, facts: &Facts, last: usize) -> Value {
    let all = tables.store.versions();
    let size = tables.store.size();
    let newest: Vec<Value> = tables
        .store
        .tables()
        .filter_map(|table| tables.store.check(table))
        .map(|check| json!(check.number))
        .collect();
    let ways: Vec<Value> = tables
        .ways()
        .map(|(table, way, why)| {
            json!({
                "table": table, "to": way.target, "who": why.actor, "why": why.reason, "lines_to_move": way.pending_lines(),
                "ends_in_s": way.until.saturating_sub(facts.now) / 1_000_000_000, "ending": way.is_ending(),
            })
        })
        .collect();
    let hold = |(server, hold): (&u32, &shalereel_store::WeightCap)| {
        let ends = hold.until.saturating_sub(facts.now) / 1_000_000_000;
        let (who, why) = (&hold.provenance.actor, &hold.provenance.reason);
        json!({ "server": server, "at_most": hold.factor, "ends_in_s": ends, "who": who, "why": why })
    };
    let holds: Vec<Value> = tables.holds().iter().map(hold).collect();
    json!({
        "kept": size.versions, "bytes": size.bytes, "newest": newest, "ways": ways, "holds": holds,
        "versions": all.iter().rev().take(last).map(|version| head(version)).collect::<Vec<_>>(),
    })
}

fn diff(tables: &Tables, from: VersionNumber, to: VersionNumber) -> Result<Value, Status> {
    let ((table, old), (other, new)) = (at(tables, from)?, at(tables, to)?);
    if table != other {
        let text = format!("version {from} is of table {table}, version {to} of table {other}");
        return Err(Status::new(Code::InvalidArgument, text));
    }
    let servers: std::collections::BTreeSet<u32> = old.keys().chain(new.keys()).copied().collect();
    let differs = servers.into_iter().filter(|server| old.get(server) != new.get(server));
    let rows = differs.map(|server| {
        json!({ "server": server, "from": old.get(&server).map(line), "to": new.get(&server).map(line) })
    });
    Ok(json!({ "table": table, "from": from, "to": to, "lines": rows.collect::<Vec<_>>() }))
}
