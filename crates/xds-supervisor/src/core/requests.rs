//! Requests of discovery clients: subscriptions, acknowledgements and rejections.

use shalereel::interface::{Event, Nanos, ProxyId};
use shalereel_rpc::{frame, Code, Status};
use shalereel_store::{Check, Subscription};
use shalereel_xds::{cluster, leds, listener, types, ClientRequest, Resource, Response, EXCLUDED};

use super::command::Consequence;
use super::proxy::{Proxy, SentUpdate};
use super::{Core, Peer, Stream, Warning, LISTENER_NAME};
use crate::client_limits::NackResponse;

/// Resource names that a client has subscribed to; `None` means all existing ones.
type RequestedNames = Option<Vec<String>>;

/// Response to a subscription that is sent at once, not with the next update.
#[derive(Default)]
struct ImmediateAnswer {
    resources: Vec<Resource>,
    /// Requested names that do not exist.
    unknown: Vec<String>,
}

impl Core {
    /// Handles a message on a discovery stream.
    pub(super) fn handle_discovery(&mut self, now: Nanos, peer: Peer, message: &[u8]) -> Result<(), Status> {
        let Some(stream) = self.streams.get_mut(&peer) else { return Ok(()) };
        for request in stream.server.handle(message)? {
            match request {
                ClientRequest::Node(node) => self.join_on_stream(peer, &node)?,
                ClientRequest::Subscribe { type_url, names } => self.subscribe(now, peer, &type_url, names),
                ClientRequest::Ack { type_url, nonce } => self.acknowledged(now, peer, &type_url, nonce),
                ClientRequest::Nack { type_url, nonce, reason } => {
                    self.rejected(now, peer, &type_url, nonce, reason);
                }
            }
        }
        Ok(())
    }

    /// Handles a subscription. Listeners and clusters are sent at once, tables with the next update.
    fn subscribe(&mut self, now: Nanos, peer: Peer, type_url: &str, names: RequestedNames) {
        let Some(stream) = self.streams.get(&peer) else { return };
        if let Some(group) = &mut self.group {
            group.adopt_epoch(stream.server.initial_version(type_url));
        }
        let answer = match type_url {
            types::ASSIGNMENT | types::ROUTES => self.subscribe_assignments(now, peer, type_url, names),
            types::LINE => self.subscribe_lines(now, peer, names),
            types::CLUSTER => self.clusters(names),
            _ => listeners(names),
        };
        if !answer.unknown.is_empty() {
            let (type_url, names) = (type_url.to_owned(), answer.unknown.clone());
            self.warn(Warning::UnknownResources { type_url, names });
        }
        let is_static = ![types::ASSIGNMENT, types::ROUTES, types::LINE].contains(&type_url);
        let is_empty = answer.resources.is_empty() && answer.unknown.is_empty();
        if !is_empty && (is_static || !answer.unknown.is_empty()) {
            self.send_answer(now, peer, type_url, answer);
        }
    }

    fn send_answer(&mut self, now: Nanos, peer: Peer, type_url: &str, answer: ImmediateAnswer) {
        let nonce = self.next_number();
        let Some(stream) = self.streams.get_mut(&peer) else { return };
        let response = Response {
            type_url,
            version: "1",
            resources: answer.resources,
            removed: answer.unknown,
            nonce,
            stamp: now,
        };
        let message = frame(&stream.server.encode_response(response));
        self.send(peer, message);
    }

    fn subscribe_assignments(
        &mut self,
        now: Nanos,
        peer: Peer,
        type_url: &str,
        names: RequestedNames,
    ) -> ImmediateAnswer {
        let operations = &self.deployment.operations;
        let exists = |name: &String| match type_url {
            types::ROUTES => name == LISTENER_NAME,
            _ => name == EXCLUDED || operations.contains(name),
        };
        let (known, unknown): (Vec<String>, Vec<String>) = names.into_iter().flatten().partition(exists);
        let stream = self.streams.get(&peer);
        let proxy = stream.and_then(|stream| self.proxies.get_mut(&stream.proxy?));
        if let Some((stream, proxy)) = stream.zip(proxy) {
            for name in &known {
                reset_sent_version(stream, proxy, type_url, name);
            }
            // Tables that the proxy already uses are sent with the next update without passing the channel again, since
            // the channel has already carried their lines.
            if !known.is_empty() && (!proxy.tables.is_empty() || !proxy.unacknowledged.is_empty()) {
                proxy.request_write(now);
            }
        }
        ImmediateAnswer { resources: Vec::new(), unknown }
    }

    fn subscribe_lines(&mut self, now: Nanos, peer: Peer, names: RequestedNames) -> ImmediateAnswer {
        let is_collection = |name: &String| leds::table_of(name).is_some();
        let (known, unknown): (Vec<String>, Vec<String>) =
            names.into_iter().flatten().partition(is_collection);
        for name in &known {
            self.subscribe_collection(now, peer, name);
        }
        ImmediateAnswer { resources: Vec::new(), unknown }
    }

    fn subscribe_collection(&mut self, now: Nanos, peer: Peer, name: &str) {
        let Some(table) = leds::table_of(name) else { return };
        let Some(stream) = self.streams.get(&peer) else { return };
        let Some(id) = stream.proxy else { return };
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        let held = stream.server.resource_version(types::LINE, name).and_then(Check::parse);
        let subscription = proxy.subscriptions.entry(table).or_default();
        subscription.on_request(&self.tables.store, table, held);
        if proxy.charged_tables.remove(&table) {
            proxy.request_write(now);
        } else if proxy.uses(table) {
            self.queue_missing_lines(id, table);
        }
    }

    fn clusters(&self, names: RequestedNames) -> ImmediateAnswer {
        let operations = &self.deployment.operations;
        let names = names.unwrap_or_else(|| operations.clone());
        let (known, unknown): (Vec<String>, Vec<String>) =
            names.into_iter().partition(|name| operations.contains(name));
        let resource = |name: String| Resource { version: "1".into(), any: cluster(&name), name };
        ImmediateAnswer { resources: known.into_iter().map(resource).collect(), unknown }
    }

    /// Handles an acknowledgement: it covers the response with this nonce and all earlier ones of the same type.
    fn acknowledged(&mut self, now: Nanos, peer: Peer, type_url: &str, nonce: u64) {
        let Some((id, proxy)) = self.joined_on(peer) else { return };
        for update in &mut proxy.unacknowledged {
            let Some(outstanding) = update.nonce_mut(type_url) else { continue };
            if outstanding.is_some_and(|outstanding| outstanding <= nonce) {
                *outstanding = None;
                proxy.consecutive_rejections = 0;
            }
        }
        if type_url == types::LINE {
            delta_acknowledged(proxy, nonce);
        }
        self.confirm_marks(now, id);
    }

    /// Reports acknowledged marks to the controller. A mark counts as acknowledged once everything that was sent with
    /// it and before it is acknowledged.
    pub(super) fn confirm_marks(&mut self, now: Nanos, id: ProxyId) {
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        while proxy.unacknowledged.front().is_some_and(SentUpdate::is_acknowledged) {
            let marks = proxy.unacknowledged.pop_front().map(|update| update.marks).unwrap_or_default();
            self.events.extend(marks.into_iter().map(|mark| Event::Acknowledged {
                proxy: id,
                serial: mark.serial.into(),
                elapsed: now.saturating_sub(mark.queued_at),
            }));
        }
    }

    /// Handles a rejected response; the client keeps the resources that it had. The response's marks stay
    /// unacknowledged until the client applies a resent response.
    fn rejected(&mut self, now: Nanos, peer: Peer, type_url: &str, nonce: u64, reason: String) {
        let limits = self.limits;
        let Some((id, proxy)) = self.joined_on(peer) else { return };
        proxy.consecutive_rejections += 1;
        proxy.sent_versions.clear();
        proxy.subscriptions.values_mut().for_each(Subscription::retransmit);
        let consequence = match limits.on_nack(now, proxy.consecutive_rejections) {
            NackResponse::ResendAt(at) => {
                // Everything that is not acknowledged is sent again in full, marks included.
                proxy.rejected_marks.extend(proxy.unacknowledged.drain(..).flat_map(|update| update.marks));
                proxy.retry_at = Some(at);
                Consequence::SentAgainLater
            }
            NackResponse::Terminate => {
                let text = format!("turned down again and again: {reason}");
                self.close_stream(peer, Status::new(Code::FailedPrecondition, text));
                Consequence::StreamClosed
            }
        };
        let type_url = type_url.to_owned();
        self.warn(Warning::ResponseRejected { proxy: id, type_url, nonce, reason, consequence });
    }
}

fn listeners(names: RequestedNames) -> ImmediateAnswer {
    let names = names.unwrap_or_else(|| vec![LISTENER_NAME.into()]);
    let (known, unknown): (Vec<String>, Vec<String>) =
        names.into_iter().partition(|name| name == LISTENER_NAME);
    let resource = |name: String| Resource { version: "1".into(), any: listener(&name), name };
    ImmediateAnswer { resources: known.into_iter().map(resource).collect(), unknown }
}

/// Resets the sent version of a resource to the one that the client reports to hold, or to none.
fn reset_sent_version(stream: &Stream, proxy: &mut Proxy, type_url: &str, name: &str) {
    proxy.sent_versions.remove(if type_url == types::ROUTES { types::ROUTES } else { name });
    // Only assignments that name a collection are the same from any supervisor.
    let held = stream.server.resource_version(type_url, name).filter(|_| proxy.supports_lines);
    let held = held.and_then(|held| {
        let (admitted, table) = held.split_once('.')?;
        Some((admitted.parse().ok()?, table.parse().ok()?))
    });
    proxy.sent_versions.extend(held.map(|held| (name.to_owned(), held)));
}

fn delta_acknowledged(proxy: &mut Proxy, nonce: u64) {
    while let Some(delta) = proxy.sent_deltas.pop_front_if(|delta| delta.nonce <= nonce) {
        // Earlier deltas lead to older versions; only the one with this nonce is acknowledged.
        let subscription = proxy.subscriptions.get_mut(&delta.table).filter(|_| delta.nonce == nonce);
        if let Some(subscription) = subscription {
            subscription.on_acknowledged(delta.version);
        }
    }
}
