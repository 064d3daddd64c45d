//! Listeners: accept connections, within the limit of open connections, and retry when the kernel lacks resources.

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
    /// Set if peers may be waiting that could not be accepted. The kernel does not report readiness for them again, so the
    /// listener accepts once fewer connections than this are open.
    accepts_below: Option<usize>,
    /// Whether the last attempt to accept failed, which is logged only once.
    is_failing: bool,
}

impl<L: Clone, K> Hub<L, K> {
    /// Listens for gRPC on a loopback address; returns the address with the port that was chosen.
    ///
    /// # Errors
    /// The address is not a loopback address, or is in use.
    pub fn listen(&mut self, address: SocketAddr, name: L) -> io::Result<(Token, SocketAddr)> {
        self.add_listener(Listener::bind(address)?, name, Protocol::Grpc)
    }

    /// Listens for plain connections on a loopback address; received bytes are returned as [`Input::Bytes`].
    ///
    /// # Errors
    /// The address is not a loopback address, or is in use.
    pub fn listen_plain(&mut self, address: SocketAddr, name: L) -> io::Result<(Token, SocketAddr)> {
        self.add_listener(Listener::bind(address)?, name, Protocol::Plain)
    }

    /// Listens for plain connections on an address that the platform has assigned, loopback or not.
    ///
    /// # Errors
    /// The address is in use, or is not an address of this machine.
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

    /// Closes a listener; the connections that it has accepted stay open.
    pub fn stop_listening(&mut self, listener: Token) {
        self.listeners.remove(&listener);
    }

    /// Pauses or resumes a listener. While it is paused, it accepts no connections, and peers wait in the kernel.
    pub fn set_listener_paused(&mut self, listener: Token, paused: bool) {
        if let Some(state) = self.listeners.get_mut(&listener) {
            state.is_paused = paused;
            if !paused {
                self.accept(listener);
            }
        }
    }

    /// Limits the number of open connections. At the limit no connections are accepted, so that peers wait in the kernel and
    /// descriptors remain for outgoing connections.
    pub fn limit_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Accepts waiting peers on the listeners that could not accept them before, if the limit permits it now.
    pub(super) fn accept_waiting(&mut self) {
        let open = self.connections.len();
        let can_accept = |state: &ListenerState<L>| state.accepts_below.is_some_and(|below| open < below);
        let waiting: Vec<Token> =
            self.listeners.iter().filter(|(_, state)| can_accept(state)).map(|(&token, _)| token).collect();
        for token in waiting {
            self.accept(token);
        }
    }

    /// Accepts all waiting peers of a listener, up to the limit of open connections.
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
                        self.ready.push_back(Input::Opened { conn, listener: name });
                    }
                }
                Ok(None) => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return self.accept_failed(token, &error),
            }
        }
    }

    /// Handles a failed accept: the peers wait in the kernel until a connection has ended or a delay has passed. The delay is
    /// needed since the whole machine may lack descriptors or memory, which can end while all connections stay open.
    fn accept_failed(&mut self, token: Token, error: &io::Error) {
        let open = self.connections.len();
        let Some(state) = self.listeners.get_mut(&token) else { return };
        state.accepts_below = Some(open.max(1));
        if !std::mem::replace(&mut state.is_failing, true) {
            tracing::warn!(%error, "cannot accept connections; retrying after a delay");
        }
        self.retries.listeners.insert(token);
        self.retries.schedule(self.limits.retry_delay);
    }
}
