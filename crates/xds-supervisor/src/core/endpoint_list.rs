//! Endpoint lists that arrive from the registry or from the file of an earlier run.

use shalereel::interface::{Event, Nanos, WatchEvent};
use shalereel_xds::Assignment;

use super::{Core, ShellCommand, Warning};

impl Core {
    /// Loads the list that an earlier run stored, if there is one.
    pub(super) fn load_endpoint_list(&mut self, now: Nanos, stored: Option<&[u8]>) {
        let Some(stored) = stored else { return };
        match self.endpoints.load(now, stored) {
            Ok(event) => self.events.push(Event::Endpoints(event)),
            Err(error) => self.warn(Warning::StoredListUnreadable { error: error.to_string() }),
        }
    }

    /// Handles a full list from the registry.
    pub fn handle_endpoint_list(&mut self, now: Nanos, list: &Assignment) {
        let applied = self.endpoints.apply_list(now, list);
        for row in applied.skipped {
            self.warn(Warning::RowSkipped(row));
        }
        self.commands.push(ShellCommand::StoreEndpointList);
        self.servers_changed = true;
        self.events.push(Event::Endpoints(applied.event));
        self.apply_snapshot(now);
    }

    /// Tells the controller that the registry does not answer or that its stream has ended.
    pub fn endpoint_list_failed(&mut self) {
        self.events.push(Event::Endpoints(WatchEvent::Failed));
    }

    /// The last received list as JSON, for [`Core::new`] after a restart.
    pub fn endpoint_list_json(&self) -> Vec<u8> {
        self.endpoints.to_json()
    }
}
