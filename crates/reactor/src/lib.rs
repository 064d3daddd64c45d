//! Readiness, timers and sockets on `epoll`, without a runtime. Addresses outside loopback are refused, but for
//! those that a platform has given.
//!
//! A [`Reactor`] tells which tokens are ready. What owns a token is polled as a whole when its socket is ready
//! or its waker was called, so a socket keeps no waker of its own.

mod socket;
mod timers;

pub use socket::{dial, dial_given, is_momentary, Listener, Socket};
pub use timers::{TimerId, Timers};

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Wake, Waker};

use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::time::{clock_gettime, ClockId};

/// Whole nanoseconds.
pub type Nanos = u64;
pub const SECOND: Nanos = 1_000_000_000;
pub const MILLI: Nanos = 1_000_000;

/// Number of a source of readiness; never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(u64);

/// The monotonic clock; a step of the wall clock does not show.
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Nanos * SECOND + time.tv_nsec as Nanos
}

#[derive(Debug, Default)]
struct Woken(Mutex<Vec<Token>>);

struct TokenWaker {
    token: Token,
    woken: Arc<Woken>,
}

impl Wake for TokenWaker {
    fn wake(self: Arc<Self>) {
        let mut woken = self.woken.0.lock().unwrap_or_else(PoisonError::into_inner);
        if woken.last() != Some(&self.token) {
            woken.push(self.token);
        }
    }
}

/// Edge-triggered `epoll`, and the tokens woken by hand. Wakers must be called from the loop's own thread.
#[derive(Debug)]
pub struct Reactor {
    epoll: OwnedFd,
    woken: Arc<Woken>,
    last: u64,
}

impl Reactor {
    /// Errors: what `epoll_create1` gives.
    pub fn new() -> io::Result<Self> {
        Ok(Reactor { epoll: epoll::create(CreateFlags::CLOEXEC)?, woken: Arc::default(), last: 0 })
    }

    /// Watches a descriptor for input, output and hang-up, edges only: read and write until it would block.
    pub fn add(&mut self, source: &impl AsFd) -> io::Result<Token> {
        self.last += 1;
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&self.epoll, source, EventData::new_u64(self.last), flags)?;
        Ok(Token(self.last))
    }

    /// A closed descriptor leaves by itself; this is for those that live on.
    pub fn remove(&mut self, source: &impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, source)?)
    }

    pub fn waker(&self, token: Token) -> Waker {
        Waker::from(Arc::new(TokenWaker { token, woken: self.woken.clone() }))
    }

    /// Waits until something is ready, was woken, or the time has come, whichever is first.
    pub fn wait(&mut self, until: Option<Nanos>) -> io::Result<Vec<Token>> {
        let mut ready = std::mem::take(&mut *self.woken.0.lock().unwrap_or_else(PoisonError::into_inner));
        let span = if ready.is_empty() { until.map(|at| at.saturating_sub(now())) } else { Some(0) };
        let span =
            span.map(|span| Timespec { tv_sec: (span / SECOND) as i64, tv_nsec: (span % SECOND) as i64 });
        let mut events = Vec::with_capacity(256);
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), span.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        ready.extend(events.iter().map(|event| Token(event.data.u64())));
        ready.sort_unstable();
        ready.dedup();
        Ok(ready)
    }
}

/// Becomes readable at SIGTERM or SIGINT.
pub fn stop_signals() -> io::Result<UnixStream> {
    signals(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])
}

/// Becomes readable at SIGHUP.
pub fn reload_signals() -> io::Result<UnixStream> {
    signals(&[signal_hook::consts::SIGHUP])
}

fn signals(signals: &[i32]) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    for &signal in signals {
        signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
    }
    Ok(read)
}
