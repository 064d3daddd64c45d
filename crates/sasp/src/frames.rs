//! Cuts a byte stream into messages (RFC 4678, section 6). Both ends of a connection use it.

use bytes::{Buf, BytesMut};

use crate::decode::DecodeError;
use crate::message::{Body, Message};
use crate::numbers::{COMPONENT_BYTES, HEADER, HEADER_BYTES, VERSION};

// Offsets of the header's fields, in bytes.
const HEADER_LENGTH_AT: usize = 2;
const VERSION_AT: usize = 4;
const MESSAGE_LENGTH_AT: usize = 5;
const MESSAGE_ID_AT: usize = 9;

/// Cuts a stream into messages, whatever pieces it arrives in. Buffers one incomplete message at most.
#[derive(Debug)]
pub struct Frames {
    buffered: BytesMut,
    max_message_bytes: usize,
}

impl Frames {
    /// A decoder at the start of a stream. `max_message_bytes` limits one message, header included.
    pub fn new(max_message_bytes: usize) -> Self {
        Frames { buffered: BytesMut::new(), max_message_bytes }
    }

    /// Appends bytes as they were read.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffered.extend_from_slice(piece);
    }

    /// Bytes of a message that is not complete yet.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// The next complete message; `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Any [`DecodeError`]: the stream cannot be read any further.
    pub fn take(&mut self) -> Result<Option<Message>, DecodeError> {
        self.check_header_start()?;
        if !self.has(HEADER_BYTES) {
            return Ok(None);
        }
        let size = self.message_size()?;
        if !self.has(size) {
            return Ok(None);
        }
        let id = self.u32_at(MESSAGE_ID_AT);
        let mut rest = self.buffered.split_to(size).freeze();
        rest.advance(HEADER_BYTES);
        let body = Body::decode(&mut rest)?;
        if rest.has_remaining() {
            return Err(DecodeError::TrailingBytes(rest.remaining()));
        }
        Ok(Some(Message { id, body }))
    }

    /// Reports a malformed header as soon as its first wrong field is there, not once the rest has arrived.
    fn check_header_start(&self) -> Result<(), DecodeError> {
        if self.has(2) && self.u16_at(0) != HEADER {
            return Err(DecodeError::UnexpectedComponent { found: self.u16_at(0), expected: HEADER });
        }
        if self.has(4) && usize::from(self.u16_at(HEADER_LENGTH_AT)) != HEADER_BYTES {
            return Err(DecodeError::HeaderLength(self.u16_at(HEADER_LENGTH_AT)));
        }
        if self.has(5) && self.buffered[VERSION_AT] != VERSION {
            return Err(DecodeError::Version(self.buffered[VERSION_AT]));
        }
        Ok(())
    }

    /// Bytes of the message whose header is buffered, header included.
    fn message_size(&self) -> Result<usize, DecodeError> {
        let size = self.u32_at(MESSAGE_LENGTH_AT) as usize;
        if size > self.max_message_bytes {
            return Err(DecodeError::MessageTooLong { size, limit: self.max_message_bytes });
        }
        if size < HEADER_BYTES + COMPONENT_BYTES {
            return Err(DecodeError::Truncated(HEADER));
        }
        Ok(size)
    }

    fn has(&self, count: usize) -> bool {
        self.buffered.len() >= count
    }

    fn u16_at(&self, at: usize) -> u16 {
        u16::from_be_bytes([self.buffered[at], self.buffered[at + 1]])
    }

    fn u32_at(&self, at: usize) -> u32 {
        (u32::from(self.u16_at(at)) << 16) | u32::from(self.u16_at(at + 2))
    }
}
