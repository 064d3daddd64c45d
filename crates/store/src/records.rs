//! The file of a store, byte by byte: the head, then frames of `shalereel_journal` whose bodies are protobuf messages
//! of the type `Records`; what is written together is one frame, since such messages may be put one after another. First come the tables as they were before the oldest version that is kept, then the versions
//! in order of their numbers. `docs/tables.md` says the same in words.

use std::net::SocketAddr;

use bytes::Bytes;
use prost::{Message, Oneof};
use shalereel::interface::{ServerId, TableId};
use shalereel_journal::JournalError;
use thiserror::Error;

use crate::digest::{Digest, Line};
use crate::keeping::Bounds;
use crate::store::{Chain, Change, Lines, Store, Version, Why, Written};

/// What the file begins with.
pub const HEAD: &shalereel_journal::Magic = b"shlrtbl1";

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error("the frame that ends at byte {at} is whole, but no record of this version; move the file away")]
    Strange { at: usize },
    #[error("version {number} does not follow from what stands before it; move the file away")]
    Broken { number: u64 },
}

#[derive(Clone, PartialEq, Message)]
struct Records {
    #[prost(message, repeated, tag = "1")]
    records: Vec<Record>,
}

#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(oneof = "Kept", tags = "1, 2")]
    kept: Option<Kept>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Kept {
    #[prost(message, tag = "1")]
    Base(BaseRecord),
    #[prost(message, tag = "2")]
    Version(VersionRecord),
}

/// A table before the oldest version of it that is kept.
#[derive(Clone, PartialEq, Message)]
struct BaseRecord {
    #[prost(uint32, tag = "1")]
    table: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint64, tag = "3")]
    at: u64,
    #[prost(message, repeated, tag = "4")]
    lines: Vec<LineRecord>,
    /// Of the newest version, so that numbers never come twice.
    #[prost(uint64, tag = "5")]
    last: u64,
}

#[derive(Clone, PartialEq, Message)]
struct VersionRecord {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(uint32, tag = "2")]
    table: u32,
    #[prost(uint64, tag = "3")]
    parent: u64,
    #[prost(uint64, tag = "4")]
    at: u64,
    #[prost(string, tag = "5")]
    who: String,
    #[prost(string, tag = "6")]
    reason: String,
    #[prost(uint32, tag = "7")]
    count: u32,
    /// Sixteen bytes, little endian.
    #[prost(bytes = "vec", tag = "8")]
    sum: Vec<u8>,
    #[prost(fixed64, tag = "9")]
    salt: u64,
    #[prost(message, repeated, tag = "10")]
    changes: Vec<ChangeRecord>,
}

/// What a line became; what it was stands before it in the file.
#[derive(Clone, PartialEq, Message)]
struct ChangeRecord {
    #[prost(uint32, tag = "1")]
    server: u32,
    #[prost(message, optional, tag = "2")]
    after: Option<LineRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct LineRecord {
    #[prost(uint32, tag = "1")]
    server: u32,
    /// Four or sixteen bytes in network order, then the port, two bytes.
    #[prost(bytes = "vec", tag = "2")]
    address: Vec<u8>,
    #[prost(uint32, tag = "3")]
    weight: u32,
    #[prost(bool, tag = "4")]
    draining: bool,
    #[prost(uint64, tag = "5")]
    life: u64,
}

fn line_out(server: ServerId, line: &Line) -> LineRecord {
    let mut address = match line.address {
        SocketAddr::V4(address) => address.ip().octets().to_vec(),
        SocketAddr::V6(address) => address.ip().octets().to_vec(),
    };
    address.extend(line.address.port().to_be_bytes());
    LineRecord { server, address, weight: line.weight, draining: line.draining, life: line.life }
}

fn line_in(record: &LineRecord) -> Option<Line> {
    let (ip, port) = record.address.split_at_checked(record.address.len().checked_sub(2)?)?;
    let port = u16::from_be_bytes(port.try_into().ok()?);
    let address = match ip.len() {
        4 => SocketAddr::from((<[u8; 4]>::try_from(ip).ok()?, port)),
        16 => SocketAddr::from((<[u8; 16]>::try_from(ip).ok()?, port)),
        _ => return None,
    };
    Some(Line { address, weight: record.weight, draining: record.draining, life: record.life })
}

fn body(kept: Kept) -> Bytes {
    Records { records: vec![Record { kept: Some(kept) }] }.encode_to_vec().into()
}

/// A version as a body.
pub(crate) fn version(version: &Version) -> Bytes {
    let change = |change: &Change| ChangeRecord {
        server: change.server,
        after: change.after.as_ref().map(|line| line_out(change.server, line)),
    };
    body(Kept::Version(VersionRecord {
        number: version.number,
        table: version.table.into(),
        parent: version.parent,
        at: version.at,
        who: version.why.who.clone(),
        reason: version.why.reason.clone(),
        count: version.digest.count,
        sum: version.digest.sum.to_le_bytes().to_vec(),
        salt: version.salt,
        changes: version.changes.iter().map(change).collect(),
    }))
}

/// All bodies of the file.
pub(crate) fn whole(store: &Store) -> Vec<Bytes> {
    let base = |(&table, chain): (&TableId, &Chain)| {
        let mut lines = chain.lines.clone();
        for change in chain.versions.iter().rev().flat_map(|version| version.changes.iter().rev()) {
            Chain::apply(&mut lines, change.server, change.before);
        }
        let lines = lines.iter().map(|(&server, line)| line_out(server, line)).collect();
        let (table, number, at) = (table.into(), chain.base, chain.base_at);
        let base = BaseRecord { table, number, at, lines, last: store.last };
        body(Kept::Base(base))
    };
    let bases = store.chains.iter().map(base);
    bases.chain(store.kept.iter().map(|written| written.body.clone())).collect()
}

/// Reads a file; gives the store, and how many bytes of it were whole. A version that does not add up from what stands
/// before it is not believed, nor is anything after it.
pub(crate) fn read(file: &[u8], bounds: Bounds, seed: u64) -> Result<(Store, usize), StoreError> {
    let mut store = Store::new(bounds, seed);
    let mut whole = HEAD.len().min(file.len());
    let mut latest = 0;
    for shalereel_journal::Record { payload, end } in shalereel_journal::records(file, HEAD)? {
        let strange = || StoreError::Strange { at: end };
        for record in Records::decode(payload).map_err(|_| strange())?.records {
            take(&mut store, record.kept.ok_or_else(strange)?, &mut latest, end)?;
        }
        whole = end;
    }
    Ok((store, whole))
}

fn take(store: &mut Store, kept: Kept, latest: &mut u64, end: usize) -> Result<(), StoreError> {
    let strange = || StoreError::Strange { at: end };
    match kept {
        Kept::Base(base) => {
            let table = TableId::try_from(base.table).map_err(|_| strange())?;
            let line = |record: &LineRecord| Some((record.server, line_in(record)?));
            let lines: Option<Lines> = base.lines.iter().map(line).collect();
            let lines = lines.ok_or_else(strange)?;
            store.last = store.last.max(base.last).max(base.number);
            let (base, base_at) = (base.number, base.at);
            store.chains.insert(table, Chain { lines, base, base_at, ..Chain::default() });
        }
        Kept::Version(record) => {
            let version = settle(store, &record, *latest).ok_or_else(strange)??;
            *latest = version.number;
            store.last = store.last.max(version.number);
            let (number, table) = (version.number, version.table);
            let written = Written { number, table, body: body(Kept::Version(record)) };
            store.count(written);
            store.chains.entry(version.table).or_default().versions.push_back(version);
        }
    }
    Ok(())
}

/// Applies a version to the lines that stand; nothing where a line of it cannot be read.
fn settle(store: &mut Store, record: &VersionRecord, latest: u64) -> Option<Result<Version, StoreError>> {
    let table = TableId::try_from(record.table).ok()?;
    let sum = u128::from_le_bytes(record.sum.as_slice().try_into().ok()?);
    let digest = Digest { count: record.count, sum };
    let chain = store.chains.entry(table).or_default();
    let mut changes = Vec::new();
    for change in &record.changes {
        let after = match &change.after {
            Some(line) => Some(line_in(line)?),
            None => None,
        };
        let before = Chain::apply(&mut chain.lines, change.server, after);
        changes.push(Change { server: change.server, before, after });
    }
    // Whole digests for the first and each new salt, then line by line.
    let (number, salt) = (record.number, record.salt);
    if chain.versions.is_empty() || chain.salt != salt {
        chain.digest = Digest::of(&chain.lines, salt);
        chain.salt = salt;
    } else {
        for change in &changes {
            change.before.iter().for_each(|line| chain.digest.remove(change.server, line, salt));
            change.after.iter().for_each(|line| chain.digest.add(change.server, line, salt));
        }
    }
    if chain.digest != digest || record.parent != chain.number() || number <= latest.max(chain.base) {
        return Some(Err(StoreError::Broken { number }));
    }
    let why = Why { who: record.who.clone(), reason: record.reason.clone() };
    Some(Ok(Version { number, table, parent: record.parent, at: record.at, why, digest, salt, changes }))
}
