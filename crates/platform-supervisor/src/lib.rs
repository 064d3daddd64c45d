//! The supervisor on the operators' platform, `shalereel node`. Data flows one way: socket, codec, event, controller,
//! action, codec, socket. All but [`run`] and [`Config::read`] is free of I/O and clocks.

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
