//! Cuts a byte stream into lines. The connections of proxies and collectors and the discovery watch read
//! through it.

use thiserror::Error;

/// A line that is longer than allowed, whether it has ended or not.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a line of {bytes} bytes exceeds the limit of {limit}")]
pub struct LineTooLong {
    /// Bytes of the line so far.
    pub bytes: usize,
    /// Bytes that a line may have.
    pub limit: usize,
}

/// Buffers the beginning of a line until its end has come.
#[derive(Debug, Default)]
pub struct LineFramer {
    buffered: Vec<u8>,
}

impl LineFramer {
    /// Hands each line that ends in `bytes` to `on_line`, without its line feed.
    ///
    /// # Errors
    /// A line has more than `max_line_bytes` bytes; the lines before it were handed out.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        max_line_bytes: usize,
        mut on_line: impl FnMut(&[u8]),
    ) -> Result<(), LineTooLong> {
        while let Some(end) = bytes.iter().position(|&byte| byte == b'\n') {
            let line = &bytes[..end];
            bytes = &bytes[end + 1..];
            check_length(self.buffered.len() + line.len(), max_line_bytes)?;
            if self.buffered.is_empty() {
                on_line(line);
            } else {
                self.buffered.extend_from_slice(line);
                on_line(&std::mem::take(&mut self.buffered));
            }
        }
        self.buffered.extend_from_slice(bytes);
        check_length(self.buffered.len(), max_line_bytes)
    }

    /// Bytes that wait for the end of their line.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }
}

fn check_length(bytes: usize, limit: usize) -> Result<(), LineTooLong> {
    if bytes > limit {
        return Err(LineTooLong { bytes, limit });
    }
    Ok(())
}
