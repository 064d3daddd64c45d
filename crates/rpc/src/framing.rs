//! The length prefix of gRPC messages ("Length-Prefixed-Message" of gRPC over HTTP/2).

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::{Code, Status};

/// Bytes of the prefix: the compression flag, 1 byte, and the length, 4 bytes.
const PREFIX_BYTES: usize = 5;

/// Why received bytes are not valid messages.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// A message is longer than allowed.
    #[error("a message of {size} bytes is over the limit of {limit}")]
    TooLong {
        /// Length of the message, bytes.
        size: usize,
        /// Longest message that is accepted, bytes.
        limit: usize,
    },
    /// A message is compressed.
    #[error("the message is compressed, which was not agreed on")]
    Compressed,
    /// The flag byte of a message is neither 0 nor 1.
    #[error("flag byte {0:#04x} is neither 0 nor 1")]
    Flag(u8),
    /// The stream ended within a message; the number of its bytes that were received.
    #[error("the stream ends after {0} bytes of a message")]
    Truncated(usize),
}

impl From<FrameError> for Status {
    fn from(error: FrameError) -> Status {
        let code = match error {
            FrameError::TooLong { .. } => Code::ResourceExhausted,
            FrameError::Compressed => Code::Unimplemented,
            FrameError::Flag(_) | FrameError::Truncated(_) => Code::Internal,
        };
        Status::new(code, error.to_string())
    }
}

/// Encodes a message with its length prefix.
pub fn frame(message: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(PREFIX_BYTES + message.len());
    framed.put_u8(0);
    framed.put_u32(message.len() as u32);
    framed.put_slice(message);
    framed.freeze()
}

/// Splits received bytes into messages. The bytes may arrive in chunks of any size.
#[derive(Debug)]
pub struct Framer {
    buffered: BytesMut,
    max_message_bytes: usize,
}

impl Framer {
    /// Creates a framer. `max_message_bytes`: longest message that is accepted.
    pub fn new(max_message_bytes: usize) -> Self {
        Framer { buffered: BytesMut::new(), max_message_bytes }
    }

    /// Adds received bytes.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffered.extend_from_slice(piece);
    }

    /// Takes the next complete message, if there is one.
    ///
    /// # Errors
    /// The prefix is invalid, or the message is too long. Nothing after it can be read.
    pub fn take(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(&flag) = self.buffered.first() else { return Ok(None) };
        match flag {
            0 => {}
            1 => return Err(FrameError::Compressed),
            other => return Err(FrameError::Flag(other)),
        }
        if self.buffered.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let size =
            u32::from_be_bytes([self.buffered[1], self.buffered[2], self.buffered[3], self.buffered[4]])
                as usize;
        if size > self.max_message_bytes {
            return Err(FrameError::TooLong { size, limit: self.max_message_bytes });
        }
        if self.buffered.len() < PREFIX_BYTES + size {
            return Ok(None);
        }
        self.buffered.advance(PREFIX_BYTES);
        let message = self.buffered.split_to(size).freeze();
        // What follows must not keep the memory of the message.
        self.buffered = BytesMut::from(&self.buffered[..]);
        Ok(Some(message))
    }

    /// Number of bytes that are allocated for an incomplete message.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.capacity()
    }

    /// Whether there is no incomplete message.
    pub fn is_empty(&self) -> bool {
        self.buffered.is_empty()
    }

    /// Checks that the stream has ended between messages.
    ///
    /// # Errors
    /// The stream ends within a message.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffered.is_empty() {
            Ok(())
        } else {
            Err(FrameError::Truncated(self.buffered.len()))
        }
    }
}
