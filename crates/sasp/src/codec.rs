//! Bytes to messages and back (RFC 4678, section 6). All integers are big-endian.

mod decode;
mod encode;
mod framer;

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::message::Message;
use crate::numbers::{HEADER, HEADER_BYTES, VERSION};

pub use framer::MessageFramer;

/// What is wrong with a stream. Nothing more of it can be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// A component of another type than the message needs here.
    #[error("component {found:#06x}, expected {expected:#06x}")]
    UnexpectedComponent {
        /// Its type.
        found: u16,
        /// The type that is needed.
        expected: u16,
    },
    /// A message of a type that the protocol does not have.
    #[error("unknown message type {0:#06x}")]
    UnknownMessage(u16),
    /// Another version of the protocol.
    #[error("version {0} is not supported, only version 1")]
    UnsupportedVersion(u8),
    /// A header of a wrong length, bytes.
    #[error("header length {0}, expected 13")]
    HeaderLength(u16),
    /// A message over the limit.
    #[error("message of {bytes} bytes is over the limit of {max_bytes}")]
    TooLong {
        /// Its length.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// A component whose fields are longer or shorter than its length field says.
    #[error("component {component:#06x} states {stated} bytes and has {actual}")]
    ComponentLength {
        /// Its type.
        component: u16,
        /// Bytes by its length field.
        stated: usize,
        /// Bytes of its fields.
        actual: usize,
    },
    /// The message ends within a component of this type.
    #[error("message ends within component {0:#06x}")]
    Truncated(u16),
    /// Bytes of the message after its last component.
    #[error("{0} bytes after the last component of the message")]
    TrailingBytes(usize),
}

impl Message {
    /// The message as bytes, header included.
    pub fn encode(&self) -> Bytes {
        let mut body = BytesMut::new();
        self.body.encode(&mut body);
        let mut out = BytesMut::with_capacity(HEADER_BYTES + body.len());
        out.put_u16(HEADER);
        out.put_u16(HEADER_BYTES as u16);
        out.put_u8(VERSION);
        out.put_u32((HEADER_BYTES + body.len()) as u32);
        out.put_u32(self.id);
        out.put_slice(&body);
        out.freeze()
    }
}
