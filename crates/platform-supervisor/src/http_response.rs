//! Reads one HTTP/1.1 response incrementally, for the discovery watch and for health checks.

use thiserror::Error;

/// Maximum length of a response's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of a chunk-size line, of the line end after a chunk, or of a trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// Why a response cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The bytes are not valid HTTP/1.1, or an element exceeds its length limit.
    #[error("malformed HTTP response: {0}")]
    Malformed(&'static str),
    /// The value of the `Content-Length` header is not a number.
    #[error("HTTP response has an invalid Content-Length header")]
    InvalidLength,
}

/// The element of the response that is read next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReadState {
    Head,
    /// A body of known length, with the number of bytes that remain to be read.
    CountedBody(u64),
    BodyUntilClose,
    ChunkSize,
    /// The data of a chunk, with the number of bytes that remain to be read.
    Chunk(u64),
    /// The line end after the data of a chunk.
    ChunkEnd,
    Trailer,
    Complete,
}

/// A complete head.
struct ParsedHead {
    /// Length of the head, with the empty line at its end.
    bytes: usize,
    /// What follows the head.
    next: ReadState,
}

/// An incremental reader for one response.
#[derive(Debug)]
pub struct HttpResponse {
    state: ReadState,
    buffered: Vec<u8>,
    status: Option<u16>,
}

impl Default for HttpResponse {
    fn default() -> Self {
        HttpResponse { state: ReadState::Head, buffered: Vec::new(), status: None }
    }
}

impl HttpResponse {
    /// The status code; `None` until the head is complete.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Whether all of the response has been read.
    pub fn is_complete(&self) -> bool {
        self.state == ReadState::Complete
    }

    /// Whether the response is complete if the peer closes the connection at this point.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, ReadState::Complete | ReadState::BodyUntilClose)
    }

    /// Reads received bytes and appends those of the body to `body`. Bytes after the response are ignored.
    ///
    /// # Errors
    /// The bytes are not valid HTTP/1.1, or an element of the response exceeds its length limit.
    pub fn push(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), HttpError> {
        while !bytes.is_empty() && self.state != ReadState::Complete {
            bytes = match self.state {
                ReadState::Head => self.push_head(bytes)?,
                ReadState::CountedBody(remaining) | ReadState::Chunk(remaining) => {
                    self.push_body(bytes, remaining, body)
                }
                ReadState::BodyUntilClose => {
                    body.extend_from_slice(bytes);
                    &[]
                }
                ReadState::ChunkSize | ReadState::ChunkEnd | ReadState::Trailer => {
                    self.push_chunk_line_byte(bytes)?
                }
                ReadState::Complete => &[],
            };
        }
        Ok(())
    }

    /// Buffers and parses the head. Returns the bytes after it.
    fn push_head<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], HttpError> {
        let buffered_before = self.buffered.len();
        self.buffered.extend_from_slice(bytes);
        let Some(head) = self.parse_head()? else {
            if self.buffered.len() > MAX_HEAD_BYTES {
                return Err(HttpError::Malformed("head exceeds the length limit"));
            }
            return Ok(&[]);
        };
        self.buffered = Vec::new();
        self.state = head.next;
        Ok(&bytes[head.bytes.saturating_sub(buffered_before).min(bytes.len())..])
    }

    /// Appends bytes of the body or of a chunk to `body`. Returns the bytes after it.
    fn push_body<'a>(&mut self, bytes: &'a [u8], remaining: u64, body: &mut Vec<u8>) -> &'a [u8] {
        let (taken, rest) = bytes.split_at((bytes.len() as u64).min(remaining) as usize);
        body.extend_from_slice(taken);
        let remaining = remaining - taken.len() as u64;
        self.state = match (self.state, remaining) {
            (ReadState::CountedBody(_), 0) => ReadState::Complete,
            (ReadState::CountedBody(_), remaining) => ReadState::CountedBody(remaining),
            (_, 0) => ReadState::ChunkEnd,
            (_, remaining) => ReadState::Chunk(remaining),
        };
        rest
    }

    /// Reads one byte of a chunk-size line, of the line end after a chunk, or of a trailer line. Returns the
    /// bytes after it.
    fn push_chunk_line_byte<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], HttpError> {
        let byte = bytes[0];
        self.buffered.push(byte);
        if byte == b'\n' {
            self.end_chunk_line()?;
        } else if self.buffered.len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpError::Malformed("chunk-size line or trailer exceeds the length limit"));
        }
        Ok(&bytes[1..])
    }

    /// Parses the buffered head. Returns `None` if it is incomplete.
    fn parse_head(&mut self) -> Result<Option<ParsedHead>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let bytes = match response.parse(&self.buffered) {
            Ok(httparse::Status::Complete(bytes)) => bytes,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed("invalid head")),
        };
        self.status = response.code;
        let value = |name: &str| {
            let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            header.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
        };
        if value("transfer-encoding").is_some_and(|coding| coding.to_ascii_lowercase().ends_with("chunked")) {
            return Ok(Some(ParsedHead { bytes, next: ReadState::ChunkSize }));
        }
        let next = match value("content-length").map(str::parse) {
            Some(Ok(0)) => ReadState::Complete,
            Some(Ok(length)) => ReadState::CountedBody(length),
            Some(Err(_)) => return Err(HttpError::InvalidLength),
            None => ReadState::BodyUntilClose,
        };
        Ok(Some(ParsedHead { bytes, next }))
    }

    fn end_chunk_line(&mut self) -> Result<(), HttpError> {
        let line = std::mem::take(&mut self.buffered);
        let is_empty = line.iter().all(|byte| b"\r\n".contains(byte));
        self.state = match self.state {
            ReadState::ChunkSize => match httparse::parse_chunk_size(&line) {
                Ok(httparse::Status::Complete((_, 0))) => ReadState::Trailer,
                Ok(httparse::Status::Complete((_, size))) => ReadState::Chunk(size),
                _ => return Err(HttpError::Malformed("invalid chunk size")),
            },
            ReadState::ChunkEnd if is_empty => ReadState::ChunkSize,
            ReadState::ChunkEnd => {
                return Err(HttpError::Malformed("chunk data is longer than the chunk size"))
            }
            _ if is_empty => ReadState::Complete,
            _ => ReadState::Trailer,
        };
        Ok(())
    }
}
