use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::{Code, Status};

const HEAD: usize = 5;

#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    #[error("a message of {size} bytes is over the limit of {most}")]
    TooLong { size: usize, most: usize },
    #[error("the message is compressed, which was not agreed on")]
    Compressed,
    #[error("flag byte {0:#04x} is neither 0 nor 1")]
    Flag(u8),
    #[error("the stream ends after {0} bytes of a message")]
    CutShort(usize),
}

impl From<FrameError> for Status {
    fn from(error: FrameError) -> Status {
        let code = match error {
            FrameError::TooLong { .. } => Code::ResourceExhausted,
            FrameError::Compressed => Code::Unimplemented,
            FrameError::Flag(_) | FrameError::CutShort(_) => Code::Internal,
        };
        Status::new(code, error.to_string())
    }
}

/// Puts the length prefix of gRPC before a message (gRPC over HTTP2, "Length-Prefixed-Message").
pub fn frame(message: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEAD + message.len());
    out.put_u8(0);
    out.put_u32(message.len() as u32);
    out.put_slice(message);
    out.freeze()
}

/// Cuts what comes into messages, whatever pieces it comes in; never holds more than one message over.
#[derive(Debug)]
pub struct Framer {
    held: BytesMut,
    most: usize,
}

impl Framer {
    /// `most`: bytes that one message may have.
    pub fn new(most: usize) -> Self {
        Framer { held: BytesMut::new(), most }
    }

    pub fn push(&mut self, piece: &[u8]) {
        self.held.extend_from_slice(piece);
    }

    /// The next whole message. Errors cost the stream: what follows cannot be read.
    pub fn take(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(&flag) = self.held.first() else { return Ok(None) };
        match flag {
            0 => {}
            1 => return Err(FrameError::Compressed),
            other => return Err(FrameError::Flag(other)),
        }
        if self.held.len() < HEAD {
            return Ok(None);
        }
        let size = u32::from_be_bytes([self.held[1], self.held[2], self.held[3], self.held[4]]) as usize;
        if size > self.most {
            return Err(FrameError::TooLong { size, most: self.most });
        }
        if self.held.len() < HEAD + size {
            return Ok(None);
        }
        self.held.advance(HEAD);
        Ok(Some(self.held.split_to(size).freeze()))
    }

    /// To be asked at the stream's end.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.held.is_empty() {
            Ok(())
        } else {
            Err(FrameError::CutShort(self.held.len()))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn frames_as_the_specification_has_them() {
        assert_eq!(&frame(b"abc")[..], [0, 0, 0, 0, 3, b'a', b'b', b'c']);
        let cases: [(&[u8], FrameError); 3] = [
            (&[1, 0, 0, 0, 0], FrameError::Compressed),
            (&[7], FrameError::Flag(7)),
            (&[0, 0, 0, 1, 0], FrameError::TooLong { size: 256, most: 255 }),
        ];
        for (bytes, error) in cases {
            let mut framer = Framer::new(255);
            framer.push(bytes);
            assert_eq!(framer.take(), Err(error));
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::default() })]
        #[test]
        fn any_cut_gives_the_same_messages(
            messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
            cut in 1_usize..17,
        ) {
            let whole: Vec<u8> = messages.iter().flat_map(|message| frame(message)).collect();
            let (mut framer, mut got) = (Framer::new(64), Vec::new());
            for piece in whole.chunks(cut) {
                framer.push(piece);
                while let Some(message) = framer.take().unwrap() {
                    got.push(message.to_vec());
                }
            }
            prop_assert_eq!(got, messages);
            prop_assert_eq!(framer.finish(), Ok(()));
        }
    }
}
