//! Hosts many isolated decision instances: batches on standard input, one flushed reply each on standard output.

use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

use anyhow::{bail, Context, Result};
use shalereel::brain::Controller;
use shalereel::interface::{Action, Event, Nanos};
use shalereel_simulator_codec::{
    decode_batch, encode_action, encode_bug, encode_reply, read_profile, Incoming, InstanceId, Reply,
};

/// The content of the next frame, or nothing at the end of input on a frame's border.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>> {
    let mut length = Vec::with_capacity(4);
    input.by_ref().take(4).read_to_end(&mut length)?;
    let length = match <[u8; 4]>::try_from(length.as_slice()) {
        Ok(length) => u32::from_be_bytes(length),
        Err(_) if length.is_empty() => return Ok(None),
        Err(_) => bail!("input ends after {} bytes of a frame's length", length.len()),
    };
    let mut frame = Vec::new();
    input.by_ref().take(length.into()).read_to_end(&mut frame)?;
    if frame.len() < length as usize {
        bail!("input ends after {} of a frame's {length} bytes", frame.len());
    }
    Ok(Some(frame))
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without text")
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<InstanceId, Controller>,
}

impl Host {
    /// Hands every instance its events of the batch and gathers what they order.
    fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>> {
        let batch = decode_batch(frame)?;
        let mut events: BTreeMap<InstanceId, Vec<Event>> = BTreeMap::new();
        for incoming in batch.incoming {
            match incoming {
                Incoming::Enlist { instance, seed, profile } => {
                    let facts =
                        read_profile(seed, &profile).with_context(|| format!("instance {instance}"))?;
                    self.instances.insert(instance, Controller::new(&facts));
                    events.insert(instance, Vec::new());
                }
                Incoming::Kill { instance } => {
                    self.instances.remove(&instance);
                    events.remove(&instance);
                }
                Incoming::Event { instance, event } => events.entry(instance).or_default().push(event),
                Incoming::Unusable { .. } => {}
            }
        }
        let mut reply = Reply::default();
        for (instance, events) in events {
            self.consult(instance, batch.now, events, &mut reply);
        }
        Ok(encode_reply(reply))
    }

    fn consult(&mut self, instance: InstanceId, now: Nanos, events: Vec<Event>, reply: &mut Reply) {
        let Some(brain) = self.instances.get_mut(&instance) else { return };
        let decided: Result<Vec<Action>, _> = catch_unwind(AssertUnwindSafe(|| brain.decide(now, events)));
        match decided {
            Ok(orders) => orders.iter().for_each(|order| encode_action(reply, instance, order)),
            Err(panic) => {
                self.instances.remove(&instance);
                encode_bug(reply, instance, panic_text(panic.as_ref()));
            }
        }
    }
}

fn main() -> Result<()> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(frame) = read_frame(&mut input)? {
        output.write_all(&host.answer(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}
