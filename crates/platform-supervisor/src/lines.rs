//! Lines out of bytes that come in pieces of any size.

use thiserror::Error;

#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a message without end: {0} bytes and no line feed")]
pub struct LineError(pub usize);

/// Bytes of a line that has not ended yet.
#[derive(Debug, Default)]
pub struct Lines {
    held: Vec<u8>,
}

impl Lines {
    /// Hands each line that ends in these bytes to `each`, without its end. Errors: one is longer than `most`.
    pub fn take(
        &mut self,
        mut bytes: &[u8],
        most: usize,
        mut each: impl FnMut(&[u8]),
    ) -> Result<(), LineError> {
        while let Some(end) = bytes.iter().position(|&byte| byte == b'\n') {
            let (line, rest) = (&bytes[..end], &bytes[end + 1..]);
            bytes = rest;
            if self.held.len() + line.len() > most {
                return Err(LineError(self.held.len() + line.len()));
            }
            if self.held.is_empty() {
                each(line);
            } else {
                self.held.extend_from_slice(line);
                each(&std::mem::take(&mut self.held));
            }
        }
        self.held.extend_from_slice(bytes);
        if self.held.len() > most {
            return Err(LineError(self.held.len()));
        }
        Ok(())
    }

    /// Bytes that wait for their end.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
