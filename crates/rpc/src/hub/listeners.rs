//! Listeners: whom they accept, and when they wait for room or resources.

use std::io;
use std::net::SocketAddr;

use shalereel_reactor::{Listener, Token};

use super::connections::Protocol;
use super::{Hub, Input};

pub(super) struct ListenerState<L> {
    listener: Listener,
    name: L,
    protocol: Protocol,
    is_paused: bool,
    /// Peers may wait for whom there was no room, and no readiness will tell of them again: they are accepted
    /// once fewer connections than this are open.
    accepts_below: Option<usize>,
    /// The last attempt to accept failed, and that was logged.
    is_failing: bool,
}

impl<L: Clone, K> Hub<L, K> {
    /// Listens for gRPC on a loopback address; returns the address with the port that was chosen.
    ///
    /// # Errors
    /// The address is not loopback, or in use.
    pub fn listen(&mut self, address: SocketAddr, name: L) -> io::Result<(Token, SocketAddr)> {
        self.add_listener(Listener::bind(address)?, name, Protocol::Grpc)
    }

    /// Listens for another protocol on a loopback address: what comes is [`Input::Bytes`].
    ///
    /// # Errors
    /// The address is not loopback, or in use.
    pub fn listen_plain(&mut self, address: SocketAddr, name: L) -> io::Result<(Token, SocketAddr)> {
        self.add_listener(Listener::bind(address)?, name, Protocol::Plain)
    }

    /// The same on an address that the platform has assigned, loopback or not.
    ///
    /// # Errors
    /// The address is in use, or not one of this machine.
    pub fn listen_plain_any_address(
        &mut self,
        address: SocketAddr,
        name: L,
    ) -> io::Result<(Token, SocketAddr)> {
        self.add_listener(Listener::bind_any_address(address)?, name, Protocol::Plain)
    }

    fn add_listener(
        &mut self,
        listener: Listener,
        name: L,
        protocol: Protocol,
    ) -> io::Result<(Token, SocketAddr)> {
        let token = self.reactor.add(&listener)?;
        let address = listener.address()?;
        let state = ListenerState {
            listener,
            name,
            protocol,
            is_paused: false,
            accepts_below: None,
            is_failing: false,
        };
        self.listeners.insert(token, state);
        Ok((token, address))
    }

    /// Closes a listener; its connections stay.
    pub fn stop_listening(&mut self, listener: Token) {
        self.listeners.remove(&listener);
    }

    /// While paused, a listener accepts nobody: peers wait in the kernel.
    pub fn set_listener_paused(&mut self, listener: Token, paused: bool) {
        if let Some(state) = self.listeners.get_mut(&listener) {
            state.is_paused = paused;
            if !paused {
                self.accept(listener);
            }
        }
    }

    /// While so many connections are open, nobody is accepted: peers wait in the kernel, and descriptors are
    /// left for what is dialled.
    pub fn limit_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Accepts those who wait for room, where there is some.
    pub(super) fn accept_waiting(&mut self) {
        let open = self.connections.len();
        let has_room = |state: &ListenerState<L>| state.accepts_below.is_some_and(|below| open < below);
        let waiting: Vec<Token> =
            self.listeners.iter().filter(|(_, state)| has_room(state)).map(|(&token, _)| token).collect();
        for token in waiting {
            self.accept(token);
        }
    }

    /// Accepts all who wait, as far as there is room.
    pub(super) fn accept(&mut self, token: Token) {
        while let Some(state @ ListenerState { is_paused: false, .. }) = self.listeners.get_mut(&token) {
            let is_full = self.connections.len() >= self.max_connections;
            state.accepts_below = is_full.then_some(self.max_connections);
            if is_full {
                return;
            }
            let (name, protocol) = (state.name.clone(), state.protocol);
            match state.listener.accept() {
                Ok(Some(socket)) => {
                    state.is_failing = false;
                    if let Ok(conn) = self.add_accepted(socket, protocol) {
                        self.ready.push_back(Input::Opened { conn, at: name });
                    }
                }
                Ok(None) => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return self.accept_failed(token, &error),
            }
        }
    }

    /// The peers wait in the kernel. They are accepted when a connection has ended, or after a delay: a lack
    /// of descriptors or memory may be the whole machine's, and pass while all connections stay open.
    fn accept_failed(&mut self, token: Token, error: &io::Error) {
        let open = self.connections.len();
        let Some(state) = self.listeners.get_mut(&token) else { return };
        state.accepts_below = Some(open.max(1));
        if !std::mem::replace(&mut state.is_failing, true) {
            tracing::warn!(%error, "accept failed, retrying");
        }
        self.retries.listeners.insert(token);
        self.retries.schedule(self.limits.retry_delay);
    }
}
