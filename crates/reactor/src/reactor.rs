//! Waits on `epoll` until a source is ready, a waker was called, or a time has come.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Wake, Waker};

use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;

use crate::clock::{now, Nanos, SECOND};

/// Maximum number of events that one wait takes from the kernel. The next wait returns the remaining ones.
const MAX_EVENTS_PER_WAIT: usize = 256;

/// Identifies a source of readiness. No token is assigned twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(u64);

/// The tokens whose wakers were called since the last wait.
#[derive(Debug, Default)]
struct WokenTokens(Mutex<Vec<Token>>);

impl WokenTokens {
    fn push(&self, token: Token) {
        let mut tokens = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if tokens.last() != Some(&token) {
            tokens.push(token);
        }
    }

    fn take(&self) -> Vec<Token> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

struct TokenWaker {
    token: Token,
    woken: Arc<WokenTokens>,
}

impl Wake for TokenWaker {
    fn wake(self: Arc<Self>) {
        self.woken.push(self.token);
    }
}

/// Edge-triggered `epoll`, combined with wakers. Wakers must be called on the thread that waits, since they
/// do not interrupt a wait.
#[derive(Debug)]
pub struct Reactor {
    epoll: OwnedFd,
    woken: Arc<WokenTokens>,
    last_token: u64,
}

impl Reactor {
    /// Creates a reactor without sources.
    ///
    /// # Errors
    /// Those of `epoll_create1`.
    pub fn new() -> io::Result<Self> {
        Ok(Reactor { epoll: epoll::create(CreateFlags::CLOEXEC)?, woken: Arc::default(), last_token: 0 })
    }

    /// Watches a descriptor for input, output and hang-up until it is closed. Only changes of readiness are
    /// reported, so the caller must read and write until a call would block.
    ///
    /// # Errors
    /// Those of `epoll_ctl`.
    pub fn add(&mut self, source: &impl AsFd) -> io::Result<Token> {
        self.last_token += 1;
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&self.epoll, source, EventData::new_u64(self.last_token), flags)?;
        Ok(Token(self.last_token))
    }

    /// Returns a waker that makes the next wait report this token.
    pub fn waker(&self, token: Token) -> Waker {
        Waker::from(Arc::new(TokenWaker { token, woken: self.woken.clone() }))
    }

    /// Waits until a source is ready or the time `until` has come. Returns at once if a waker was called
    /// since the last wait. The returned tokens are in ascending order without duplicates.
    ///
    /// # Errors
    /// Those of `epoll_wait`, except an interruption by a signal, which ends the wait.
    pub fn wait(&mut self, until: Option<Nanos>) -> io::Result<Vec<Token>> {
        let mut ready = self.woken.take();
        let timeout = if ready.is_empty() { until.map(|at| at.saturating_sub(now())) } else { Some(0) };
        let timeout = timeout.map(timespec);
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_WAIT);
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), timeout.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        ready.extend(events.iter().map(|event| Token(event.data.u64())));
        ready.sort_unstable();
        ready.dedup();
        Ok(ready)
    }
}

fn timespec(span: Nanos) -> Timespec {
    Timespec { tv_sec: (span / SECOND) as i64, tv_nsec: (span % SECOND) as i64 }
}
