//! An operator's side of a supervisor: one question, one answer.

use std::net::SocketAddr;

use anyhow::{anyhow, bail, Context, Result};
use prost::Message;
use serde_json::Value;
use shalereel_group::wire::{Act, Command, ControlAnswer, ControlAsk, Order, Release, CONTROL};
use shalereel_reactor::{now, Nanos, SECOND};
use shalereel_rpc::{Bounds, Code, Hub, Input, Status};

/// An order that is not agreed on is given up by the supervisor before this.
const PATIENCE: Nanos = 60 * SECOND;

/// How things stand at a supervisor. Errors: it is not there, or shares nothing.
pub fn standing(at: SocketAddr) -> Result<Value> {
    ask(at, ControlAsk { order: None })
}

/// An order. Errors: it was refused, and why.
pub fn order_at(at: SocketAddr, act: Act) -> Result<Value> {
    ask(at, ControlAsk { order: Some(Command { request: 0, act: Some(act) }) })
}

/// Ends the order about a server that is like this one. Errors: none stands.
pub fn release(at: SocketAddr, order: &Order) -> Result<Value> {
    let standing = standing(at)?;
    let does = if order.hold.is_some() { "hold" } else { "drain" };
    let like = |one: &&Value| one["server"] == order.server && one["does"] == does;
    let orders = standing["orders"].as_array().into_iter().flatten();
    let Some(found) = orders.into_iter().find(like).and_then(|one| one["order"].as_u64()) else {
        bail!("no order to {does} server {} stands", order.server);
    };
    order_at(at, Act::Release(Release { order: found }))
}

fn ask(at: SocketAddr, question: ControlAsk) -> Result<Value> {
    let bounds = Bounds { message: 16 << 20, calls: 4, unread: 1 << 20, silence: PATIENCE };
    let mut hub: Hub<(), ()> = Hub::new(bounds)?;
    let conn = hub.dial(at).with_context(|| at.to_string())?;
    let stream = hub.call(conn, CONTROL, None).context("no stream")?;
    hub.send(conn, stream, &question.encode_to_vec());
    hub.finish(conn, stream, Status::OK);
    let until = now() + PATIENCE;
    let mut told = None;
    while now() < until {
        for input in hub.wait(Some(until))? {
            match input {
                Input::Message { message, .. } => told = Some(ControlAnswer::decode(message)?.told),
                Input::Ended { status, .. } if status.code == Code::Ok => {
                    let told = told.take().ok_or_else(|| anyhow!("{at} answered nothing"))?;
                    return Ok(serde_json::from_str(&told)?);
                }
                Input::Ended { status, .. } => bail!("{}", status.text),
                Input::Closed { why, .. } => bail!("{at}: {why}"),
                _ => {}
            }
        }
    }
    bail!("{at} did not answer in time")
}
