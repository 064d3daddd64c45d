//! Splits a byte stream into lines, for the connections of proxies and collectors and for the discovery
//! watch.

use thiserror::Error;

/// A line exceeds the length limit, whether or not its end has been received.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a line of {bytes} bytes exceeds the limit of {limit}")]
pub struct LineTooLong {
    /// Bytes of the line that were received.
    pub bytes: usize,
    /// Maximum bytes of a line, without its line feed.
    pub limit: usize,
}

/// Splits received bytes into lines and buffers an incomplete line until its end is received.
#[derive(Debug, Default)]
pub struct LineFramer {
    buffered: Vec<u8>,
}

impl LineFramer {
    /// Calls `on_line` with each line that `bytes` completes, without its line feed.
    ///
    /// # Errors
    /// A line has more than `max_line_bytes` bytes. `on_line` was called for the lines before it.
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

    /// Bytes of the incomplete line at the end of the stream.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Bytes that are allocated for the incomplete line, which may be up to twice as many.
    pub fn allocated_bytes(&self) -> usize {
        self.buffered.capacity()
    }
}

fn check_length(bytes: usize, limit: usize) -> Result<(), LineTooLong> {
    if bytes > limit {
        return Err(LineTooLong { bytes, limit });
    }
    Ok(())
}
