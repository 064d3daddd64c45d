//! Splits a byte stream into messages (RFC 4678, section 6). Both ends of a connection use it.

use bytes::{Buf, BytesMut};

use crate::decode::DecodeError;
use crate::message::{Body, Message};
use crate::numbers::{COMPONENT_BYTES, HEADER, HEADER_BYTES, VERSION};

// Offsets of the header's fields, in bytes.
const HEADER_LENGTH_AT: usize = 2;
const VERSION_AT: usize = 4;
const MESSAGE_LENGTH_AT: usize = 5;
const MESSAGE_ID_AT: usize = 9;

/// Splits a stream into messages. The stream may arrive in chunks of any size; complete messages should be taken after each
/// chunk, so that at most one incomplete message stays buffered.
#[derive(Debug)]
pub struct Frames {
    buffered: BytesMut,
    max_message_bytes: usize,
}

impl Frames {
    /// Creates a decoder for a new stream. `max_message_bytes`: longest message that is accepted, header included.
    pub fn new(max_message_bytes: usize) -> Self {
        Frames { buffered: BytesMut::new(), max_message_bytes }
    }

    /// Appends received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffered.extend_from_slice(chunk);
    }

    /// Number of buffered bytes; after [`Frames::take`] has returned `None`, those of an incomplete message.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Number of bytes that are allocated for an incomplete message.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.capacity()
    }

    /// Whether there is no incomplete message.
    pub fn is_empty(&self) -> bool {
        self.buffered.is_empty()
    }

    /// Takes the next complete message; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Any [`DecodeError`]; the stream cannot be decoded any further.
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
        // What follows must not keep the memory of the message.
        self.buffered = BytesMut::from(&self.buffered[..]);
        rest.advance(HEADER_BYTES);
        let body = Body::decode(&mut rest)?;
        if rest.has_remaining() {
            return Err(DecodeError::TrailingBytes(rest.remaining()));
        }
        Ok(Some(Message { id, body }))
    }

    /// Checks the fields of the header that have arrived, so that a malformed header is reported before the rest arrives.
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

    /// Length of the message whose header is buffered, in bytes, header included.
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
