//! The components of the controller and the messages that they exchange. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::{
    Action, ControllerConfig, Endpoint, EndpointReport, LocalityId, Nanos, ProxyId, Readiness, RetryPolicy,
    ServerId, ServerSnapshot, Snapshot, WatchEvent,
};

/// One second, in [`Nanos`].
pub(crate) const SECOND: Nanos = 1_000_000_000;

/// Time between two evaluations of everything, at the most.
pub(crate) fn tick_interval(config: &ControllerConfig) -> Nanos {
    config.report_interval.clamp(SECOND / 10, SECOND) / 4
}

/// A part of the controller with state and a mailbox of its own. Messages are handled in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Component {
    /// Follows the endpoint list.
    Endpoints,
    /// Knows one server.
    Server(ServerId),
    /// Compares the servers and decides for all of them.
    Fleet,
    /// Notifies proxies.
    Channel,
}

/// A message to a component.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    // To the endpoint list.
    /// The list changed.
    Endpoints(WatchEvent),
    /// What an earlier process had learned; also to the fleet.
    Restored { snapshot: Snapshot, age: Nanos },
    /// A watch that failed is due again.
    RetryWatch,

    // To a server.
    /// The part of what was restored that concerns it.
    RestoredServer { snapshot: ServerSnapshot, age: Nanos },
    /// It is listed so.
    Listed(Endpoint),
    /// A full list lacks it.
    Removed,
    /// What proxies observed at it.
    Report(EndpointReport),
    /// It is to answer with its [`ServerStatus`].
    Evaluate(EvaluationInputs),
    /// The fleet leaves it out of the tables: `true` begins an ejection, `false` does nothing, since
    /// `Ejection::update` ends them.
    Ejection(bool),

    // To the fleet.
    /// Requests of an operation, and those that got no response.
    Demand { operation: usize, total: f64, failures: f64 },
    /// What a report on one server said, in sum; the time of all responses together and the window are in ns.
    Observed { attempts: f64, failures: f64, response_time_sum: f64, window: f64 },
    /// A server's answer to `Evaluate`.
    Status(ServerStatus),
    /// Everything is to be evaluated; the servers that are known.
    EvaluateAll(Vec<ServerId>),
    /// Servers that stand in subsets which our proxies use.
    SubsetServers(BTreeSet<ServerId>),

    // To the channel.
    /// What proxies are to be told of a server.
    DesiredWeight(ServerId, DesiredWeight),
    /// What is admitted, by operation.
    AdmissionLimits(Vec<AdmissionLimit>),
    /// Whether proxies are to be isolated on subsets of the servers.
    Isolate(bool),
    /// A proxy connected.
    Joined { proxy: ProxyId, rate: f64, is_new: bool },
    /// So many requests came to a proxy.
    ProxyDemand { proxy: ProxyId, total: f64 },
    /// A proxy disconnected.
    Left(ProxyId),
    /// A proxy has applied what was marked with this serial.
    Acknowledged { proxy: ProxyId, serial: u64 },
    /// Lines that an earlier controller sent and that may still wait.
    Backlog(f64),
    /// All messages of the batch were handled: notify proxies.
    Flush,
}

/// What a server is evaluated by: the fleet as of the evaluation before, and its own share and kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EvaluationInputs {
    /// Median of the servers' mean response times, ns; 0 where none is known.
    pub(crate) median_response_time: f64,
    /// Mean response time of servers of its kind, ns; 0 where too little is known.
    pub(crate) kind_response_time: f64,
    /// Median share of failed attempts, 0 to 1.
    pub(crate) median_error_rate: f64,
    /// Failures are general: errors and slowness are then lack of capacity, not one server's fault.
    pub(crate) general_failure: bool,
    /// Responses in this batch's reports, of all servers together.
    pub(crate) responses: f64,
    /// So many missing responses make a server unresponsive.
    pub(crate) unresponsive_after: f64,
    /// Longest time in which nothing may be heard of a healthy server, ns.
    pub(crate) max_report_gap: f64,
    /// This server's share of the weight sent to proxies, 0 to 1.
    pub(crate) weight_share: f64,
}

/// Why a server is an outlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Most attempts fail.
    Errors,
    /// Responses are missing.
    Unresponsive,
    /// Its health score was below `UNHEALTHY_SCORE` for `STATE_CHANGE_DELAY`.
    Score,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Fault::Errors => "error rate",
            Fault::Unresponsive => "unresponsive",
            Fault::Score => "health score",
        })
    }
}

/// Recent responses: how many, and their time together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ResponseTotals {
    pub(crate) count: f64,
    /// ns
    pub(crate) time: f64,
}

/// What a server reports of itself to the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerStatus {
    /// As it is listed.
    pub(crate) endpoint: Endpoint,
    /// Proxies are to exclude it: it drains, or it was removed where that excludes and had requests lately.
    pub(crate) must_exclude: bool,
    /// Its slow start is over.
    pub(crate) warm: bool,
    /// It is ejected.
    pub(crate) ejected: bool,
    /// Why it should be ejected, if it should.
    pub(crate) fault: Option<Fault>,
    /// Orders the outliers.
    pub(crate) severity: f64,
    /// Weight that it should have.
    pub(crate) weight: f64,
    /// Its listed weight.
    pub(crate) listed_weight: f64,
    /// Limit on its weight during slow start, beside the listed weights of all ready servers.
    pub(crate) slow_start_limit: Option<f64>,
    /// Its mean response time, ns.
    pub(crate) response_time: Option<f64>,
    /// Its recent responses.
    pub(crate) recent_responses: ResponseTotals,
    /// Share of its attempts that failed, 0 to 1.
    pub(crate) error_rate: f64,
}

impl ServerStatus {
    /// Whether it is listed to take requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.readiness == Readiness::Ready
    }
}

/// What proxies are to be told of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DesiredWeight {
    /// Its weight; 0: none.
    pub(crate) weight: f64,
    /// It warms up or is not ready: a reduction of its weight does not wait for the next batch, and subsets do not
    /// count on it.
    pub(crate) unstable: bool,
    /// Proxies are to exclude it: it drains, or it was removed where that excludes and had requests lately.
    pub(crate) must_exclude: bool,
    /// It is not listed as ready: its removal from tables has a deadline, whether or not it must be excluded.
    pub(crate) unready: bool,
    /// Where it runs.
    pub(crate) locality: LocalityId,
    /// Its start is known (`started_at` is not 0): a proxy that holds another supervisor's state may still exclude it
    /// from before.
    pub(crate) has_known_start: bool,
}

/// What is admitted of an operation, in the unit of [`AdmissionMode`](crate::interface::AdmissionMode), and when it is retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionLimit {
    pub(crate) operation: usize,
    pub(crate) limit: f64,
    pub(crate) retry_policy: RetryPolicy,
}

/// The mailboxes of all components, and the actions decided so far in this batch.
#[derive(Debug, Default)]
pub(crate) struct Mailboxes {
    /// Time of the batch.
    pub(crate) now: Nanos,
    pending: BTreeMap<Component, VecDeque<Message>>,
    /// Actions in the order in which they are to be carried out.
    pub(crate) actions: Vec<Action>,
}

impl Mailboxes {
    /// Empty mailboxes of a batch at `now`.
    #[cfg(test)]
    pub(crate) fn at(now: Nanos) -> Self {
        Mailboxes { now, ..Mailboxes::default() }
    }

    /// Leaves a message for a component.
    pub(crate) fn send(&mut self, to: Component, message: Message) {
        self.pending.entry(to).or_default().push_back(message);
    }

    /// The oldest message of the first component that has one.
    pub(crate) fn next(&mut self) -> Option<(Component, Message)> {
        let mut mailbox = self.pending.first_entry()?;
        let component = *mailbox.key();
        let message = mailbox.get_mut().pop_front();
        if mailbox.get().is_empty() {
            mailbox.remove();
        }
        message.map(|message| (component, message))
    }

    /// Writes a line to the log.
    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }
}
