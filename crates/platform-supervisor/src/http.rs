//! Reads one answer of HTTP/1.1, as a client does, from bytes that come in pieces of any size.

use thiserror::Error;

/// A head or a chunk's size longer than this is none.
const HEAD: usize = 16 * 1024;
const SIZE_LINE: usize = 256;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    #[error("an answer that is no HTTP: {0}")]
    Unreadable(&'static str),
    #[error("an answer without a length that can be used")]
    NoLength,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Head,
    /// So many bytes of the body are still to come.
    Counted(u64),
    ToTheEnd,
    ChunkSize,
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    Trailer,
    Done,
}

/// One answer, read as it comes.
#[derive(Debug)]
pub struct Answer {
    at: At,
    held: Vec<u8>,
    status: Option<u16>,
}

impl Default for Answer {
    fn default() -> Self {
        Answer { at: At::Head, held: Vec::new(), status: None }
    }
}

impl Answer {
    /// Known once the head is through.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    pub fn is_over(&self) -> bool {
        self.at == At::Done
    }

    /// The peer has closed: whole only where that is how the body ends.
    pub fn is_whole_at_close(&self) -> bool {
        matches!(self.at, At::Done | At::ToTheEnd)
    }

    /// Takes bytes in and appends what of them is body. What follows the answer is left alone.
    pub fn take(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), HttpError> {
        while !bytes.is_empty() && self.at != At::Done {
            match self.at {
                At::Head => {
                    // Byte by byte only up to its end: what follows is body.
                    let before = self.held.len();
                    self.held.extend_from_slice(bytes);
                    let Some((length, next)) = self.head()? else {
                        if self.held.len() > HEAD {
                            return Err(HttpError::Unreadable("a head without end"));
                        }
                        return Ok(());
                    };
                    bytes = &bytes[length.saturating_sub(before).min(bytes.len())..];
                    self.held = Vec::new();
                    self.at = next;
                }
                At::Counted(left) | At::Chunk(left) => {
                    let now = (bytes.len() as u64).min(left) as usize;
                    body.extend_from_slice(&bytes[..now]);
                    bytes = &bytes[now..];
                    let left = left - now as u64;
                    self.at = match (self.at, left) {
                        (At::Counted(_), 0) => At::Done,
                        (At::Counted(_), left) => At::Counted(left),
                        (_, 0) => At::ChunkEnd,
                        (_, left) => At::Chunk(left),
                    };
                }
                At::ToTheEnd => {
                    body.extend_from_slice(bytes);
                    return Ok(());
                }
                At::ChunkSize | At::ChunkEnd | At::Trailer => {
                    let byte = bytes[0];
                    bytes = &bytes[1..];
                    self.held.push(byte);
                    if byte == b'\n' {
                        self.line()?;
                    } else if self.held.len() > SIZE_LINE {
                        return Err(HttpError::Unreadable("a chunk's size without end"));
                    }
                }
                At::Done => {}
            }
        }
        Ok(())
    }

    /// Length of the head and what follows it, once it is whole.
    fn head(&mut self) -> Result<Option<(usize, At)>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut answer = httparse::Response::new(&mut headers);
        let length = match answer.parse(&self.held) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Unreadable("bad head")),
        };
        self.status = answer.code;
        let value = |name: &str| {
            let header = answer.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            header.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
        };
        if value("transfer-encoding").is_some_and(|coding| coding.to_ascii_lowercase().ends_with("chunked")) {
            return Ok(Some((length, At::ChunkSize)));
        }
        match value("content-length").map(str::parse) {
            Some(Ok(0)) => Ok(Some((length, At::Done))),
            Some(Ok(count)) => Ok(Some((length, At::Counted(count)))),
            Some(Err(_)) => Err(HttpError::NoLength),
            None => Ok(Some((length, At::ToTheEnd))),
        }
    }

    /// A line between chunks has ended.
    fn line(&mut self) -> Result<(), HttpError> {
        let line = std::mem::take(&mut self.held);
        let empty = line.iter().all(|byte| b"\r\n".contains(byte));
        self.at = match self.at {
            At::ChunkSize => match httparse::parse_chunk_size(&line) {
                Ok(httparse::Status::Complete((_, 0))) => At::Trailer,
                Ok(httparse::Status::Complete((_, size))) => At::Chunk(size),
                _ => return Err(HttpError::Unreadable("bad size of a chunk")),
            },
            At::ChunkEnd if empty => At::ChunkSize,
            At::ChunkEnd => return Err(HttpError::Unreadable("a chunk longer than its size")),
            _ if empty => At::Done,
            _ => At::Trailer,
        };
        Ok(())
    }
}
