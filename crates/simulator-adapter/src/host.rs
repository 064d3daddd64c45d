//! The instances of the controller, and what they make of a batch.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use anyhow::{Context, Result};
use shalereel::interface::{Event, Nanos};
use shalereel::Controller;
use shalereel_simulator_codec::{
    decode_batch, decode_settings, encode_action, encode_failure, encode_reply, InstanceId, Record, Reply,
};

/// All instances of the controller. None shares anything with another one.
#[derive(Default)]
pub(crate) struct Host {
    controllers: BTreeMap<InstanceId, Controller>,
}

impl Host {
    /// Hands each instance its events of a batch; gives the reply with their actions, by the instances' numbers. An instance
    /// that has just started is called even without events.
    ///
    /// # Errors
    ///
    /// The batch or the settings of an instance are malformed.
    pub(crate) fn answer(&mut self, batch: &[u8]) -> Result<Vec<u8>> {
        let batch = decode_batch(batch)?;
        let mut events: BTreeMap<InstanceId, Vec<Event>> = BTreeMap::new();
        for record in batch.records {
            match record {
                Record::Start { instance, seed, settings } => {
                    let config =
                        decode_settings(seed, &settings).with_context(|| format!("instance {instance}"))?;
                    self.controllers.insert(instance, Controller::new(&config));
                    events.insert(instance, Vec::new());
                }
                Record::Stop { instance } => {
                    self.controllers.remove(&instance);
                    events.remove(&instance);
                }
                Record::Event { instance, event } => events.entry(instance).or_default().push(event),
                Record::InvalidValue { .. } => {}
            }
        }
        let mut reply = Reply::default();
        for (instance, events) in events {
            self.decide(instance, batch.now, events, &mut reply);
        }
        Ok(encode_reply(reply))
    }

    /// Adds the actions of one instance to the reply. An instance that panics is removed, and the reply says so.
    fn decide(&mut self, instance: InstanceId, now: Nanos, events: Vec<Event>, reply: &mut Reply) {
        let Some(controller) = self.controllers.get_mut(&instance) else { return };
        match catch_unwind(AssertUnwindSafe(|| controller.decide(now, events))) {
            Ok(actions) => actions.iter().for_each(|action| encode_action(reply, instance, action)),
            Err(panic) => {
                self.controllers.remove(&instance);
                encode_failure(reply, instance, panic_text(panic.as_ref()));
            }
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    let fixed = panic.downcast_ref::<&str>().copied();
    owned.or(fixed).unwrap_or("panic without text")
}
