//! The components of the controller, and the messages that they exchange.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::{
    Action, ControllerConfig, Endpoint, EndpointReport, LocalityId, Nanos, ProxyId, Readiness, RetryPolicy,
    ServerId, ServerSnapshot, Snapshot, WatchEvent,
};

/// One second, in [`Nanos`].
pub(crate) const SECOND: Nanos = 1_000_000_000;

/// Maximum time between two evaluations: a quarter of the report interval, but at least 25 ms and at most
/// 250 ms.
pub(crate) fn tick_interval(config: &ControllerConfig) -> Nanos {
    config.report_interval.clamp(SECOND / 10, SECOND) / 4
}

/// A part of the controller with its own state and mailbox. Mailboxes are emptied in the order of these
/// variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Component {
    /// Applies changes of the endpoint list.
    Endpoints,
    /// State of one server.
    Server(ServerId),
    /// Decisions across all servers.
    Fleet,
    /// Decides what is sent to proxies.
    Channel,
}

/// A message to a component.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    // Messages to the endpoint list.
    /// The endpoint list changed.
    Endpoints(WatchEvent),
    /// State learned by an earlier process; the endpoint list forwards it to the fleet.
    Restored { snapshot: Snapshot, age: Nanos },
    /// The watch must be started: this process has just started, or the backoff after a failed watch is over.
    StartWatch,

    // Messages to a server.
    /// The server's part of the restored state.
    RestoredServer { snapshot: ServerSnapshot, age: Nanos },
    /// The server's current list entry.
    Listed(Endpoint),
    /// The server is absent from a full list.
    Removed,
    /// Outcomes of attempts at the server.
    Report(EndpointReport),
    /// The server must respond with its [`ServerStatus`].
    Evaluate(EvaluationInputs),
    /// Whether the fleet leaves the server out of the tables. `true` begins an ejection; `false` has no
    /// effect, since `Ejection::update` ends ejections.
    Ejection(bool),

    // Messages to the fleet.
    /// Requests of an operation, and the number of them that got no response.
    Demand { operation: usize, total: f64, failures: f64 },
    /// Totals of a report on one server; `response_time_sum` (the total time of all responses) and `window`
    /// are in ns.
    ReportedOutcomes { attempts: f64, failures: f64, response_time_sum: f64, window: f64 },
    /// A server's response to `Evaluate`.
    Status(ServerStatus),
    /// Evaluates all of the given servers.
    EvaluateAll(Vec<ServerId>),
    /// Servers in the subsets that this supervisor's proxies use.
    SubsetServers(BTreeSet<ServerId>),

    // Messages to the channel.
    /// The desired state of a server at the proxies.
    DesiredState(ServerId, DesiredState),
    /// Admission limits of all operations.
    AdmissionLimits(Vec<AdmissionLimit>),
    /// Whether proxies should be isolated on subsets of the servers.
    Isolate(bool),
    /// A proxy connected.
    Joined { proxy: ProxyId, rate: f64, is_new: bool },
    /// A proxy received this many requests.
    ProxyDemand { proxy: ProxyId, total: f64 },
    /// A proxy disconnected.
    Left(ProxyId),
    /// A proxy has applied everything that was sent before the mark with this serial number.
    Acknowledged { proxy: ProxyId, serial: u64 },
    /// Number of lines that an earlier controller sent and that may still be queued.
    Backlog(f64),
    /// Actual number of lines of the messages with the mark of this serial number.
    Sent { serial: u64, lines: f64 },
    /// All other messages of the batch were handled: send updates to proxies.
    Flush,
}

/// Inputs of a server's evaluation: the state of the fleet at the previous evaluation, and values for this
/// server and its kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EvaluationInputs {
    /// Median of the servers' mean response times, ns; 0 if none is known.
    pub(crate) median_response_time: f64,
    /// Mean response time of servers of its kind, ns; 0 with too few responses.
    pub(crate) kind_response_time: f64,
    /// Median of the servers' error rates, 0 to 1.
    pub(crate) median_error_rate: f64,
    /// Failures are general: errors and slow responses then come from a lack of capacity, not from a fault of
    /// one server.
    pub(crate) general_failure: bool,
    /// Number of responses in this batch's reports, of all servers together.
    pub(crate) responses: f64,
    /// Number of missing responses above which a server is unresponsive.
    pub(crate) unresponsive_after: f64,
    /// Longest time without a report on a healthy server, ns.
    pub(crate) max_report_gap: f64,
    /// This server's share of the total weight sent to proxies, 0 to 1.
    pub(crate) weight_share: f64,
}

/// Reason why a server is an outlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Most attempts fail.
    Errors,
    /// Expected responses are missing.
    Unresponsive,
    /// The health score was below `UNHEALTHY_SCORE` for `STATE_CHANGE_DELAY`.
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

/// Number and total time of recent responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ResponseTotals {
    pub(crate) count: f64,
    /// Total time of these responses, ns.
    pub(crate) time: f64,
}

/// Status that a server reports to the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerStatus {
    /// The server's list entry.
    pub(crate) endpoint: Endpoint,
    /// Proxies must exclude the server: it is draining, or it was removed while it still received requests
    /// and removal is not advisory.
    pub(crate) must_exclude: bool,
    /// The server was started or became ready again since it was first listed.
    pub(crate) has_returned: bool,
    /// The server's slow start is over.
    pub(crate) warm: bool,
    /// The server is ejected.
    pub(crate) ejected: bool,
    /// Why the server should be ejected; `None` if it should not.
    pub(crate) fault: Option<Fault>,
    /// How severe the fault is; the most severe outliers are ejected first.
    pub(crate) severity: f64,
    /// Weight that the server should have.
    pub(crate) weight: f64,
    /// Listed weight of the server.
    pub(crate) listed_weight: f64,
    /// Limit on the server's weight during slow start, relative to the listed weights of all ready servers;
    /// `None` once it is warm.
    pub(crate) slow_start_limit: Option<f64>,
    /// Mean response time of the server, ns.
    pub(crate) response_time: Option<f64>,
    /// Recent responses of the server.
    pub(crate) recent_responses: ResponseTotals,
    /// Share of the attempts at the server that failed, 0 to 1.
    pub(crate) error_rate: f64,
}

impl ServerStatus {
    /// Returns whether the server accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.readiness == Readiness::Ready
    }
}

/// The desired state of a server at the proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DesiredState {
    /// Weight of the server; 0: not in the table.
    pub(crate) weight: f64,
    /// The server is warming up or is not ready: a reduction of its weight is an urgent change, and subsets
    /// do not rely on it.
    pub(crate) unstable: bool,
    /// Proxies must exclude the server: it is draining, or it was removed while it still received requests
    /// and removal is not advisory.
    pub(crate) must_exclude: bool,
    /// The server is not ready: its removal from tables has a deadline, even if proxies need not exclude it.
    pub(crate) unready: bool,
    /// Locality that the server runs in.
    pub(crate) locality: LocalityId,
    /// The server's start time is known (`started_at` is not 0), or the server became ready again: a proxy that
    /// holds another supervisor's state may still exclude the server from before, and is told to readmit it.
    pub(crate) has_returned: bool,
}

/// Admission limit of an operation, in the unit of [`AdmissionMode`](crate::interface::AdmissionMode), and
/// its retry policy.
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
    /// Actions in the order in which they must be carried out.
    pub(crate) actions: Vec<Action>,
}

impl Mailboxes {
    /// Creates empty mailboxes for a batch at `now`.
    #[cfg(test)]
    pub(crate) fn at(now: Nanos) -> Self {
        Mailboxes { now, ..Mailboxes::default() }
    }

    /// Adds a message to a component's mailbox.
    pub(crate) fn send(&mut self, to: Component, message: Message) {
        self.pending.entry(to).or_default().push_back(message);
    }

    /// Removes and returns the oldest message of the first component that has one.
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
