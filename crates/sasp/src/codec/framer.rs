//! Cuts a stream of bytes into messages.

use bytes::{Buf, BytesMut};

use super::DecodeError;
use crate::message::{Body, Message};
use crate::numbers::{COMPONENT_BYTES, HEADER, HEADER_BYTES, VERSION};

// Offsets of the header's fields, bytes.
const LENGTH_AT: usize = 2;
const VERSION_AT: usize = 4;
const MESSAGE_LENGTH_AT: usize = 5;
const MESSAGE_ID_AT: usize = 9;

/// Cuts a stream into messages, whatever pieces it comes in. Buffers one message at most, beside the last piece.
#[derive(Debug)]
pub struct MessageFramer {
    buffer: BytesMut,
    max_message_bytes: usize,
}

impl MessageFramer {
    /// `max_message_bytes` includes the header.
    pub fn new(max_message_bytes: usize) -> Self {
        MessageFramer { buffer: BytesMut::new(), max_message_bytes }
    }

    /// Adds a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Bytes that are not taken yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next complete message.
    ///
    /// # Errors
    ///
    /// Nothing more of the stream can be decoded. Said as soon as it is seen, not once the message is complete.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        self.check_header()?;
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let bytes = self.u32_at(MESSAGE_LENGTH_AT) as usize;
        if bytes > self.max_message_bytes {
            return Err(DecodeError::TooLong { bytes, max_bytes: self.max_message_bytes });
        }
        if bytes < HEADER_BYTES + COMPONENT_BYTES {
            return Err(DecodeError::Truncated(HEADER));
        }
        if self.buffer.len() < bytes {
            return Ok(None);
        }
        let id = self.u32_at(MESSAGE_ID_AT);
        let mut rest = self.buffer.split_to(bytes).freeze();
        rest.advance(HEADER_BYTES);
        let body = Body::decode(&mut rest)?;
        if rest.has_remaining() {
            return Err(DecodeError::TrailingBytes(rest.remaining()));
        }
        Ok(Some(Message { id, body }))
    }

    /// Checks those fields of the header that are there.
    fn check_header(&self) -> Result<(), DecodeError> {
        let has = |bytes: usize| self.buffer.len() >= bytes;
        if has(2) && self.u16_at(0) != HEADER {
            return Err(DecodeError::UnexpectedComponent { found: self.u16_at(0), expected: HEADER });
        }
        if has(LENGTH_AT + 2) && usize::from(self.u16_at(LENGTH_AT)) != HEADER_BYTES {
            return Err(DecodeError::HeaderLength(self.u16_at(LENGTH_AT)));
        }
        if has(VERSION_AT + 1) && self.buffer[VERSION_AT] != VERSION {
            return Err(DecodeError::UnsupportedVersion(self.buffer[VERSION_AT]));
        }
        Ok(())
    }

    fn u16_at(&self, at: usize) -> u16 {
        u16::from_be_bytes([self.buffer[at], self.buffer[at + 1]])
    }

    fn u32_at(&self, at: usize) -> u32 {
        (u32::from(self.u16_at(at)) << 16) | u32::from(self.u16_at(at + 2))
    }
}
