//! Event sources of the loop other than sockets and timers: signals, other threads, and standard input.

use std::io::{self, Read};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;

use shalereel_reactor::{reload_signals, stop_signals, Reactor, Token};

use super::{Hub, Input};

const READ_BUFFER_BYTES: usize = 65536;

/// A stream that only signals: any byte on it means that an event has happened.
pub(super) struct WakeStream {
    token: Token,
    stream: UnixStream,
}

impl WakeStream {
    fn new(reactor: &mut Reactor, stream: UnixStream) -> io::Result<Self> {
        Ok(WakeStream { token: reactor.add(&stream)?, stream })
    }

    /// Whether the token is this stream's and bytes were received; reads all of them. An interrupted read is repeated, since
    /// the kernel does not report readiness again for bytes that were left unread.
    fn was_woken(&mut self, token: Token) -> bool {
        if self.token != token {
            return false;
        }
        let mut has_read = false;
        loop {
            match self.stream.read(&mut [0; 64]) {
                Ok(0) => return has_read,
                Ok(_) => has_read = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return has_read,
            }
        }
    }
}

/// Standard input, read as lines.
pub(super) struct StandardInput {
    token: Token,
    stdin: io::Stdin,
    buffered: Vec<u8>,
}

impl StandardInput {
    /// Reads all available bytes; returns whether the input has ended.
    fn read(&mut self) -> bool {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match rustix::io::read(self.stdin.as_fd(), &mut buffer) {
                Ok(0) => return true,
                Ok(count) => self.buffered.extend_from_slice(&buffer[..count]),
                Err(_) => return false,
            }
        }
    }

    fn next_line(&mut self) -> Option<String> {
        let end = self.buffered.iter().position(|&byte| byte == b'\n')?;
        let line: Vec<u8> = self.buffered.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line[..end]).into_owned())
    }
}

impl<L: Clone, K> Hub<L, K> {
    /// Installs handlers for SIGTERM and SIGINT, which are returned as [`Input::Stop`].
    ///
    /// # Errors
    /// The handlers cannot be installed, or [`Hub::stop_on`] fails.
    pub fn stop_on_signals(&mut self) -> io::Result<()> {
        self.stop_on(stop_signals()?)
    }

    /// Like [`Hub::stop_on_signals`], with handlers that are installed already. A signal that has arrived since they were
    /// installed is returned too.
    ///
    /// # Errors
    /// The errors of `epoll_ctl`.
    pub fn stop_on(&mut self, signals: UnixStream) -> io::Result<()> {
        self.stop_signals = Some(WakeStream::new(&mut self.reactor, signals)?);
        Ok(())
    }

    /// Installs a handler for SIGHUP, which is returned as [`Input::Reload`].
    ///
    /// # Errors
    /// The handler cannot be installed, or [`Hub::reload_on`] fails.
    pub fn reload_on_signal(&mut self) -> io::Result<()> {
        self.reload_on(reload_signals()?)
    }

    /// Like [`Hub::reload_on_signal`], with a handler that is installed already; see [`Hub::stop_on`].
    ///
    /// # Errors
    /// The errors of `epoll_ctl`.
    pub fn reload_on(&mut self, signals: UnixStream) -> io::Result<()> {
        self.reload_signals = Some(WakeStream::new(&mut self.reactor, signals)?);
        Ok(())
    }

    /// Returns a stream by which another thread can wake the loop: whatever it writes is returned as [`Input::Woken`].
    ///
    /// # Errors
    /// The streams cannot be created or registered.
    pub fn wake_stream(&mut self) -> io::Result<UnixStream> {
        let (ours, theirs) = UnixStream::pair()?;
        ours.set_nonblocking(true)?;
        theirs.set_nonblocking(true)?;
        self.wake_stream = Some(WakeStream::new(&mut self.reactor, ours)?);
        Ok(theirs)
    }

    /// Reads standard input, which is returned as [`Input::Line`] and [`Input::EndOfLines`].
    ///
    /// # Errors
    /// Standard input cannot be polled, for example since it is a file.
    pub fn read_lines(&mut self) -> io::Result<()> {
        let stdin = io::stdin();
        let flags = rustix::fs::fcntl_getfl(&stdin)?;
        rustix::fs::fcntl_setfl(&stdin, flags | rustix::fs::OFlags::NONBLOCK)?;
        let token = self.reactor.add(&stdin)?;
        self.standard_input = Some(StandardInput { token, stdin, buffered: Vec::new() });
        Ok(())
    }

    /// Reads the source that has this token, if there is one.
    pub(super) fn read_sources(&mut self, token: Token) {
        if self.stop_signals.as_mut().is_some_and(|signals| signals.was_woken(token)) {
            self.ready.push_back(Input::Stop);
        }
        if self.reload_signals.as_mut().is_some_and(|signals| signals.was_woken(token)) {
            self.ready.push_back(Input::Reload);
        }
        if self.wake_stream.as_mut().is_some_and(|stream| stream.was_woken(token)) {
            self.ready.push_back(Input::Woken);
        }
        self.read_standard_input(token);
    }

    fn read_standard_input(&mut self, token: Token) {
        let Some(input) = self.standard_input.as_mut().filter(|input| input.token == token) else { return };
        let has_ended = input.read();
        while let Some(line) = input.next_line() {
            self.ready.push_back(Input::Line(line));
        }
        if has_ended {
            self.standard_input = None;
            self.ready.push_back(Input::EndOfLines);
        }
    }
}
