//! The host of the controller's instances, which runs them on batches of events.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use anyhow::{Context, Result};
use shalereel::interface::{Event, Nanos};
use shalereel::Controller;
use shalereel_simulator_codec::{
    decode_batch, decode_settings, encode_action, encode_failure, encode_reply, InstanceId, Record, Reply,
};

/// All running instances of the controller. They share no state.
#[derive(Default)]
pub(crate) struct Host {
    controllers: BTreeMap<InstanceId, Controller>,
}

impl Host {
    /// Decodes a batch, runs each instance on its events, and returns the encoded reply with their actions.
    /// Instances run in the order of their numbers. An instance that the batch starts runs even without
    /// events.
    ///
    /// # Errors
    ///
    /// The batch or the settings of an instance are malformed.
    pub(crate) fn process_batch(&mut self, batch: &[u8]) -> Result<Vec<u8>> {
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
            self.run_instance(instance, batch.now, events, &mut reply);
        }
        Ok(encode_reply(reply))
    }

    /// Runs one instance and adds its actions to the reply. An instance that panics is removed, and its
    /// failure is added to the reply.
    fn run_instance(&mut self, instance: InstanceId, now: Nanos, events: Vec<Event>, reply: &mut Reply) {
        let Some(controller) = self.controllers.get_mut(&instance) else { return };
        match catch_unwind(AssertUnwindSafe(|| controller.decide(now, events))) {
            Ok(actions) => actions.iter().for_each(|action| encode_action(reply, instance, action)),
            Err(panic) => {
                self.controllers.remove(&instance);
                encode_failure(reply, instance, panic_message(panic.as_ref()));
            }
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    let borrowed = panic.downcast_ref::<&str>().copied();
    owned.or(borrowed).unwrap_or("panic without text")
}
