//! Tests of the supervisor's core without sockets: they open streams as clients do, and send lists as a registry does.

use std::path::Path;

use shalereel_reactor::{MILLI, SECOND};
use shalereel_rpc::Code;
use shalereel_xds::*;
use shalereel_xds_supervisor::{Deployment, Peer, LISTENER_NAME};

use harness::{summaries, summary, Harness, DEPLOYMENT};

mod channel;
mod deployment_file;
mod discovery;
mod harness;
mod lines;
mod load_reports;
mod operators;
mod restart;
mod sasp;
mod streams;
