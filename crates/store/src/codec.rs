//! The records of the history file: protobuf messages `Records`, framed by `shalereel_journal`. Records that are written
//! together form one frame, since the encoding of several `Records` is their concatenation. The file begins with the base of
//! each table; the versions follow in the order of their numbers. `docs/tables.md` describes the format; tags must not change.

use std::net::SocketAddr;

use bytes::Bytes;
use prost::{Message, Oneof};
use shalereel::interface::{Nanos, ServerId, TableId};
use shalereel_journal::JournalError;
use thiserror::Error;

use crate::digest::{Digest, Salt};
use crate::line::{Line, Lines};
use crate::version::{LineChange, Provenance, Version, VersionNumber};

/// First bytes of the history file.
pub const MAGIC: &shalereel_journal::Magic = b"shlrtbl1";

/// Why a history file is rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The file's frames are damaged or of another format.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The checksum of a frame is right, but its content cannot be decoded.
    #[error("the frame that ends at byte {offset} is intact but cannot be decoded")]
    Malformed {
        /// Offset of the frame's end, in bytes.
        offset: usize,
    },
    /// The parent, number or digest of a version does not match the versions before it.
    #[error("the parent, number or digest of version {number} does not match the versions before it")]
    Inconsistent {
        /// Number of the version.
        number: VersionNumber,
    },
}

#[derive(Clone, PartialEq, Message)]
struct Records {
    #[prost(message, repeated, tag = "1")]
    records: Vec<Record>,
}

#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(oneof = "Content", tags = "1, 2")]
    content: Option<Content>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Content {
    #[prost(message, tag = "1")]
    Base(BaseRecord),
    #[prost(message, tag = "2")]
    Version(VersionRecord),
}

#[derive(Clone, PartialEq, Message)]
struct BaseRecord {
    #[prost(uint32, tag = "1")]
    table: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint64, tag = "3")]
    published_at: u64,
    #[prost(message, repeated, tag = "4")]
    lines: Vec<LineRecord>,
    #[prost(uint64, tag = "5")]
    last_number: u64,
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
    published_at: u64,
    #[prost(string, tag = "5")]
    actor: String,
    #[prost(string, tag = "6")]
    reason: String,
    #[prost(uint32, tag = "7")]
    count: u32,
    /// Sum of the digest: 16 bytes, little endian.
    #[prost(bytes = "vec", tag = "8")]
    sum: Vec<u8>,
    #[prost(fixed64, tag = "9")]
    salt: u64,
    #[prost(message, repeated, tag = "10")]
    changes: Vec<ChangeRecord>,
}

/// A server's line after a version; its line before the version is reconstructed from the records before.
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
    /// The IP address, 4 or 16 bytes, then the port, 2 bytes; all in network order.
    #[prost(bytes = "vec", tag = "2")]
    address: Vec<u8>,
    #[prost(uint32, tag = "3")]
    weight: u32,
    #[prost(bool, tag = "4")]
    draining: bool,
    #[prost(uint64, tag = "5")]
    incarnation: u64,
}

/// The content of a table before its oldest retained version.
#[derive(Debug)]
pub(crate) struct TableBase {
    pub(crate) table: TableId,
    pub(crate) number: VersionNumber,
    pub(crate) published_at: Nanos,
    pub(crate) lines: Lines,
    /// Number of the newest version of all tables; stored so that no number is used twice.
    pub(crate) last_number: VersionNumber,
}

/// A version as it is read from the file.
#[derive(Debug)]
pub(crate) struct StoredVersion {
    pub(crate) number: VersionNumber,
    pub(crate) table: TableId,
    pub(crate) parent: VersionNumber,
    pub(crate) published_at: Nanos,
    pub(crate) provenance: Provenance,
    pub(crate) digest: Digest,
    pub(crate) salt: Salt,
    /// Changed lines as of this version; `None` for a removed line.
    pub(crate) changes: Vec<(ServerId, Option<Line>)>,
    /// The version's encoded record, which is reused when the file is rewritten.
    pub(crate) encoded: Bytes,
}

/// A decoded record of the file.
#[derive(Debug)]
pub(crate) enum StoredRecord {
    Base(TableBase),
    Version(StoredVersion),
}

fn encode_record(content: Content) -> Bytes {
    Records { records: vec![Record { content: Some(content) }] }.encode_to_vec().into()
}

fn encode_line(server: ServerId, line: &Line) -> LineRecord {
    let mut address = match line.address {
        SocketAddr::V4(address) => address.ip().octets().to_vec(),
        SocketAddr::V6(address) => address.ip().octets().to_vec(),
    };
    address.extend(line.address.port().to_be_bytes());
    LineRecord {
        server,
        address,
        weight: line.weight,
        draining: line.draining,
        incarnation: line.incarnation,
    }
}

/// Encodes the record of a version.
pub(crate) fn encode_version(version: &Version) -> Bytes {
    let change = |change: &LineChange| ChangeRecord {
        server: change.server,
        after: change.after.as_ref().map(|line| encode_line(change.server, line)),
    };
    encode_record(Content::Version(VersionRecord {
        number: version.number,
        table: version.table.into(),
        parent: version.parent,
        published_at: version.published_at,
        actor: version.provenance.actor.clone(),
        reason: version.provenance.reason.clone(),
        count: version.digest.count,
        sum: version.digest.sum.to_le_bytes().to_vec(),
        salt: version.salt,
        changes: version.changes.iter().map(change).collect(),
    }))
}

/// Encodes the record of a table's base.
pub(crate) fn encode_base(base: &TableBase) -> Bytes {
    encode_record(Content::Base(BaseRecord {
        table: base.table.into(),
        number: base.number,
        published_at: base.published_at,
        lines: base.lines.iter().map(|(&server, line)| encode_line(server, line)).collect(),
        last_number: base.last_number,
    }))
}

/// Decodes the records of a frame. Returns `None` for the whole frame, or for a single record, that cannot be decoded.
pub(crate) fn decode_frame(payload: &[u8]) -> Option<impl Iterator<Item = Option<StoredRecord>>> {
    let records = Records::decode(payload).ok()?.records;
    Some(records.into_iter().map(|record| decode_record(record.content?)))
}

fn decode_record(content: Content) -> Option<StoredRecord> {
    match content {
        Content::Base(record) => decode_base(&record).map(StoredRecord::Base),
        Content::Version(record) => decode_version(record).map(StoredRecord::Version),
    }
}

fn decode_base(record: &BaseRecord) -> Option<TableBase> {
    let line = |line: &LineRecord| Some((line.server, decode_line(line)?));
    Some(TableBase {
        table: TableId::try_from(record.table).ok()?,
        number: record.number,
        published_at: record.published_at,
        lines: record.lines.iter().map(line).collect::<Option<Lines>>()?,
        last_number: record.last_number,
    })
}

fn decode_version(record: VersionRecord) -> Option<StoredVersion> {
    let change = |change: &ChangeRecord| {
        let after = match &change.after {
            Some(line) => Some(decode_line(line)?),
            None => None,
        };
        Some((change.server, after))
    };
    Some(StoredVersion {
        number: record.number,
        table: TableId::try_from(record.table).ok()?,
        parent: record.parent,
        published_at: record.published_at,
        provenance: Provenance { actor: record.actor.clone(), reason: record.reason.clone() },
        digest: Digest {
            count: record.count,
            sum: u128::from_le_bytes(record.sum.as_slice().try_into().ok()?),
        },
        salt: record.salt,
        changes: record.changes.iter().map(change).collect::<Option<_>>()?,
        encoded: encode_record(Content::Version(record)),
    })
}

fn decode_line(record: &LineRecord) -> Option<Line> {
    let ip_bytes = record.address.len().checked_sub(2)?;
    let (ip, port) = record.address.split_at_checked(ip_bytes)?;
    let port = u16::from_be_bytes(port.try_into().ok()?);
    let address = match ip.len() {
        4 => SocketAddr::from((<[u8; 4]>::try_from(ip).ok()?, port)),
        16 => SocketAddr::from((<[u8; 16]>::try_from(ip).ok()?, port)),
        _ => return None,
    };
    Some(Line { address, weight: record.weight, draining: record.draining, incarnation: record.incarnation })
}
