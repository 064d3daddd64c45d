//! Opening and closing of streams, and joining and leaving of proxies.

use std::collections::BTreeSet;

use shalereel::interface::{Event, Nanos, ProxyId};
use shalereel_rpc::{Code, Status};
use shalereel_xds::{NodeInfo, ServerStream, Variant};

use super::proxy::{Protocol, Proxy};
use super::{Core, Peer, ShellCommand, Stream};

/// Maximum number of joined proxies, as a multiple of the deployment's configured proxy count. The error text below
/// repeats this number.
const MAX_JOINED_RATIO: usize = 2;
/// Maximum number of remembered node ids, as a multiple of the deployment's configured proxy count.
const MAX_NODE_IDS_RATIO: usize = 4;

impl Core {
    /// Handles a newly opened discovery stream.
    pub fn stream_opened(&mut self, peer: Peer, variant: Variant) {
        let server = ServerStream::new(variant, &self.identity);
        self.streams.insert(peer, Stream { server, proxy: None });
    }

    /// Handles a newly opened LRS stream.
    pub fn load_stream_opened(&mut self, peer: Peer) {
        self.load_streams.insert(peer, None);
    }

    /// Handles a message on a discovery or LRS stream; an invalid message closes the stream.
    pub fn handle_message(&mut self, now: Nanos, peer: Peer, message: &[u8]) {
        let result = if self.load_streams.contains_key(&peer) {
            self.handle_load_report(peer, message)
        } else {
            self.handle_discovery(now, peer, message)
        };
        if let Err(status) = result {
            self.close_stream(peer, status);
        }
    }

    /// Removes a stream or SASP connection that either side has closed.
    pub fn stream_closed(&mut self, peer: Peer) {
        self.load_streams.remove(&peer);
        let proxy = if self.sasp.is_connected(peer) {
            self.sasp_connection_closed(peer);
            self.proxy_of_peer(peer)
        } else {
            self.streams.remove(&peer).and_then(|stream| stream.proxy)
        };
        let Some(proxy) = proxy else { return };
        // A proxy that has opened a newer stream stays joined when the older one is closed.
        if self.proxies.get(&proxy).is_some_and(|joined| joined.peer == peer) {
            self.proxies.remove(&proxy);
            self.channel.drop_messages_to(proxy);
            self.load_reports.forget(proxy);
            self.events.push(Event::Left { proxy });
        }
    }

    pub(super) fn proxy_of_peer(&self, peer: Peer) -> Option<ProxyId> {
        self.proxies.iter().find(|(_, proxy)| proxy.peer == peer).map(|(&id, _)| id)
    }

    /// The proxy that has joined on a discovery stream, and its id.
    pub(super) fn joined_on(&mut self, peer: Peer) -> Option<(ProxyId, &mut Proxy)> {
        let id = self.streams.get(&peer)?.proxy?;
        self.proxies.get_mut(&id).map(|proxy| (id, proxy))
    }

    /// Joins the node that the first message of a discovery stream names.
    pub(super) fn join_on_stream(&mut self, peer: Peer, node: &NodeInfo) -> Result<(), Status> {
        let Some(locality) = self.endpoints.locality(&node.zone) else {
            let text = format!("zone {:?} of node {:?} is not one of this deployment's", node.zone, node.id);
            return Err(Status::new(Code::FailedPrecondition, text));
        };
        let proxy = self.join(peer, Protocol::Xds, node, locality)?;
        if let Some(stream) = self.streams.get_mut(&peer) {
            stream.proxy = Some(proxy);
            // The specification allows single lines only on incremental streams.
            let incremental = stream.server.variant() == Variant::Incremental;
            self.proxies.entry(proxy).and_modify(|proxy| proxy.supports_lines &= incremental);
        }
        Ok(())
    }

    /// Joins a proxy, whichever protocol it uses.
    pub(super) fn join(
        &mut self,
        peer: Peer,
        protocol: Protocol,
        node: &NodeInfo,
        locality: u16,
    ) -> Result<ProxyId, Status> {
        let id = self.proxy_id(&node.id)?;
        // The node has reconnected: its older stream can only be half open.
        if let Some(older) = self.proxies.get(&id).map(|proxy| proxy.peer) {
            let text = format!("node {:?} has opened another stream", node.id);
            self.close_stream(older, Status::new(Code::Cancelled, text));
        }
        let supports_lines = node.supports_lines && protocol == Protocol::Xds;
        self.proxies.insert(id, Proxy::new(peer, protocol, supports_lines));
        let rate = self.expected_rate(node);
        self.events.push(Event::Joined { proxy: id, locality, rate, is_new: node.is_new });
        Ok(id)
    }

    /// The proxy id of a node: the one that it had before, else the lowest free one.
    fn proxy_id(&mut self, node: &str) -> Result<ProxyId, Status> {
        if let Some(&id) = self.proxy_ids.get(node) {
            return Ok(id);
        }
        let expected = self.config.proxy_count as usize;
        if self.proxies.len() >= MAX_JOINED_RATIO * expected {
            let text = format!("{} proxies are joined, twice what the deployment is for", self.proxies.len());
            return Err(Status::new(Code::ResourceExhausted, text));
        }
        if self.proxy_ids.len() >= MAX_NODE_IDS_RATIO * expected {
            self.proxy_ids.retain(|_, id| self.proxies.contains_key(id));
        }
        let taken: BTreeSet<ProxyId> = self.proxy_ids.values().copied().collect();
        let id = (0..ProxyId::MAX).find(|id| !taken.contains(id)).unwrap_or(ProxyId::MAX);
        self.proxy_ids.insert(node.to_owned(), id);
        Ok(id)
    }

    /// Closes the streams of proxies that have not acknowledged an update in time; a proxy that still runs joins again.
    pub(super) fn close_unresponsive(&mut self, now: Nanos) {
        let is_overdue = |proxy: &&Proxy| {
            proxy.unacknowledged_since().is_some_and(|since| self.limits.ack_deadline(since) < now)
        };
        let overdue: Vec<Peer> = self.proxies.values().filter(is_overdue).map(|proxy| proxy.peer).collect();
        for peer in overdue {
            let text = "tables were not acknowledged in time; join anew";
            self.close_stream(peer, Status::new(Code::DeadlineExceeded, text));
        }
    }

    pub(super) fn send(&mut self, peer: Peer, message: bytes::Bytes) {
        self.commands.push(ShellCommand::Send { peer, message });
    }
}
