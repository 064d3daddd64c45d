//! Reads one HTTP/1.1 response incrementally, as the discovery watch and health checks receive it.

use thiserror::Error;

/// Longest head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest line between chunks.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Most headers of a response.
const MAX_HEADERS: usize = 64;

/// Why bytes are not an HTTP response that can be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The bytes do not follow HTTP/1.1.
    #[error("malformed http response: {0}")]
    Malformed(&'static str),
    /// The length of the body cannot be read.
    #[error("http response with an invalid content length")]
    InvalidLength,
}

/// What is read next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReadState {
    Head,
    /// A body of known length, of which so many bytes are missing.
    CountedBody(u64),
    BodyUntilClose,
    ChunkSize,
    /// A chunk of which so many bytes are missing.
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    Trailer,
    Complete,
}

/// The end of a head was found.
struct ParsedHead {
    bytes: usize,
    next: ReadState,
}

/// One response, read as it comes.
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
    /// The status code, once the head has been read.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Whether the response has ended.
    pub fn is_complete(&self) -> bool {
        self.state == ReadState::Complete
    }

    /// Whether the response is complete if the peer closes the connection now.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, ReadState::Complete | ReadState::BodyUntilClose)
    }

    /// Reads bytes and appends those of the body to `body`. Bytes behind the response are ignored.
    ///
    /// # Errors
    /// The bytes are not HTTP/1.1, or an element of the response is too long.
    pub fn push(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), HttpError> {
        while !bytes.is_empty() && self.state != ReadState::Complete {
            bytes = match self.state {
                ReadState::Head => self.push_head(bytes)?,
                ReadState::CountedBody(missing) | ReadState::Chunk(missing) => {
                    self.push_body(bytes, missing, body)
                }
                ReadState::BodyUntilClose => {
                    body.extend_from_slice(bytes);
                    &[]
                }
                ReadState::ChunkSize | ReadState::ChunkEnd | ReadState::Trailer => {
                    self.push_chunk_line(bytes)?
                }
                ReadState::Complete => &[],
            };
        }
        Ok(())
    }

    /// Returns the bytes behind the head.
    fn push_head<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], HttpError> {
        let buffered_before = self.buffered.len();
        self.buffered.extend_from_slice(bytes);
        let Some(head) = self.parse_head()? else {
            if self.buffered.len() > MAX_HEAD_BYTES {
                return Err(HttpError::Malformed("the head is too long"));
            }
            return Ok(&[]);
        };
        self.buffered = Vec::new();
        self.state = head.next;
        Ok(&bytes[head.bytes.saturating_sub(buffered_before).min(bytes.len())..])
    }

    /// Returns the bytes behind the body or chunk.
    fn push_body<'a>(&mut self, bytes: &'a [u8], missing: u64, body: &mut Vec<u8>) -> &'a [u8] {
        let (taken, rest) = bytes.split_at((bytes.len() as u64).min(missing) as usize);
        body.extend_from_slice(taken);
        let missing = missing - taken.len() as u64;
        self.state = match (self.state, missing) {
            (ReadState::CountedBody(_), 0) => ReadState::Complete,
            (ReadState::CountedBody(_), missing) => ReadState::CountedBody(missing),
            (_, 0) => ReadState::ChunkEnd,
            (_, missing) => ReadState::Chunk(missing),
        };
        rest
    }

    /// Reads one byte of a line between chunks; returns the bytes behind it.
    fn push_chunk_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], HttpError> {
        let byte = bytes[0];
        self.buffered.push(byte);
        if byte == b'\n' {
            self.end_chunk_line()?;
        } else if self.buffered.len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpError::Malformed("the size of a chunk is too long"));
        }
        Ok(&bytes[1..])
    }

    /// The head, once all of it has come.
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
                _ => return Err(HttpError::Malformed("invalid size of a chunk")),
            },
            ReadState::ChunkEnd if is_empty => ReadState::ChunkSize,
            ReadState::ChunkEnd => return Err(HttpError::Malformed("a chunk is longer than its size")),
            _ if is_empty => ReadState::Complete,
            _ => ReadState::Trailer,
        };
        Ok(())
    }
}
