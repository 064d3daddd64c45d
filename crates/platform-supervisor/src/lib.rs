//! The supervisor that `shalereel node` runs on the operators' platform. It exchanges JSON lines over TCP with
//! proxies and with collectors, which report on behalf of the proxies of a locality. Over HTTP/1.1 it watches
//! the endpoint list of discovery, the platform's service that lists the servers.
//!
//! Data flows one way: received bytes are decoded into events, the controller answers events with actions,
//! and actions are encoded into bytes to send. Only [`run`] and [`Config::read`] do I/O or read clocks.

#![deny(missing_docs)]

mod clocks;
mod config;
mod discovery_watch;
mod http_response;
mod limits;
mod line_framer;
mod protocol;
mod proxy_tables;
mod runtime;
mod server_age;
mod server_registry;
mod supervisor;

pub use clocks::Clocks;
pub use config::{Config, ConfigError, ResourceLimits};
pub use http_response::{HttpError, HttpResponse};
pub use limits::{Limits, LogRate};
pub use line_framer::{LineFramer, LineTooLong};
pub use protocol::{
    decode_message, Acknowledgement, DecodeError, DemandReportMessage, EndpointList, EndpointReportMessage,
    Message, ProxyJoin,
};
pub use proxy_tables::{InvalidAction, JoinKind, ProxyTables, ProxyUpdate, SentCounts};
pub use runtime::{run, RunError};
pub use server_registry::{EntryError, RegisteredServer, RegistryUpdate, ServerRegistry};
pub use supervisor::{Command, ControllerFailure, DialTarget, Supervisor};
