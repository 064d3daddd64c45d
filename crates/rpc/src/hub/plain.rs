//! A plain connection, of a protocol other than gRPC: sends and receives bytes without interpreting them.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use shalereel_reactor::{is_out_of_kernel_memory, Nanos, Socket};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection::CloseReason;

const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that an entry of the unsent queue takes beside its content.
const QUEUE_ENTRY_BYTES: usize = size_of::<Bytes>();

pub(super) struct PlainConnection {
    pub socket: Socket,
    /// Bytes to send. Connections that are sent the same bytes share them.
    unsent: VecDeque<Bytes>,
    /// Bytes of an incomplete message that the caller holds, and when it began.
    pub incomplete_bytes: usize,
    pub incomplete_since: Option<Nanos>,
    /// Whether the peer has closed its sending side in an orderly way.
    pub is_half_closed: bool,
    /// Whether the kernel has refused a read or a write for lack of resources.
    was_refused: bool,
}

impl PlainConnection {
    pub fn new(socket: Socket) -> Self {
        PlainConnection {
            socket,
            unsent: VecDeque::new(),
            incomplete_bytes: 0,
            incomplete_since: None,
            is_half_closed: false,
            was_refused: false,
        }
    }

    pub fn send(&mut self, bytes: Bytes) {
        self.unsent.push_back(bytes);
    }

    pub fn unsent_bytes(&self) -> usize {
        self.unsent.iter().map(Bytes::len).sum()
    }

    /// Bytes that the unsent queue takes, without content that other connections share.
    pub fn unshared_unsent_bytes(&self) -> usize {
        let content = self.unsent.iter().filter(|bytes| bytes.is_unique()).map(Bytes::len).sum::<usize>();
        self.unsent.len() * QUEUE_ENTRY_BYTES + content
    }

    /// Whether the kernel has refused a read or a write since the last call of this method.
    pub fn take_refused(&mut self) -> bool {
        std::mem::take(&mut self.was_refused)
    }

    /// Writes as much as the kernel takes.
    pub fn write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while let Some(first) = self.unsent.front_mut() {
            match Pin::new(&mut self.socket).poll_write(cx, first) {
                Poll::Ready(Ok(count)) => first.advance(count),
                Poll::Ready(Err(error)) if is_out_of_kernel_memory(&error) => {
                    self.was_refused = true;
                    break;
                }
                Poll::Ready(Err(error)) => return Err(error),
                Poll::Pending => break,
            }
            if first.is_empty() {
                self.unsent.pop_front();
            }
        }
        if self.unsent.is_empty() {
            // Frees the memory of a queue that was long.
            self.unsent = VecDeque::new();
        }
        Ok(())
    }

    /// Writes as much as the kernel takes, and appends received bytes to `received`. Ready once the connection has ended.
    pub fn poll(
        &mut self,
        cx: &mut Context<'_>,
        received: &mut Vec<Bytes>,
        max_unsent_bytes: usize,
    ) -> Poll<CloseReason> {
        if let Err(error) = self.write(cx) {
            return Poll::Ready(error.into());
        }
        let unsent_bytes = self.unsent_bytes();
        if unsent_bytes > max_unsent_bytes {
            // The peer does not read. A reset discards the bytes that the kernel still holds for it.
            let _ = self.socket.reset_at_close();
            return Poll::Ready(CloseReason::Unread(unsent_bytes));
        }
        self.read(cx, received)
    }

    fn read(&mut self, cx: &mut Context<'_>, received: &mut Vec<Bytes>) -> Poll<CloseReason> {
        loop {
            let mut bytes = [0; READ_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.socket).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => {
                    self.is_half_closed = true;
                    return Poll::Ready(CloseReason::ClosedByPeer);
                }
                Poll::Ready(Ok(())) => received.push(Bytes::copy_from_slice(buffer.filled())),
                Poll::Ready(Err(error)) if is_out_of_kernel_memory(&error) => {
                    self.was_refused = true;
                    return Poll::Pending;
                }
                Poll::Ready(Err(error)) => return Poll::Ready(error.into()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}
