//! Application of committed entries and installed snapshots to the state machine.

use super::action::{Action, OrderError};
use super::log_event::LogEvent;
use super::Group;
use crate::state_machine::{AppliedChange, StateMachine};
use crate::wire::{Entry, Snapshot};

impl Group {
    pub(super) fn apply(&mut self, entry: &Entry) {
        self.last_applied = entry.index;
        self.state_machine.append_to_history(entry);
        let Some(command) = &entry.command else { return };
        let fault = self.config.injected_fault;
        let change = self.state_machine.apply(entry.index, entry.term, command, fault);
        let pending = self.pending.remove(&command.request_id);
        if let Some(correlation_id) = pending.and_then(|pending| pending.correlation_id) {
            let result = match change {
                AppliedChange::Rejected(rejection) => Err(OrderError::Rejected(rejection)),
                _ => Ok(entry.index),
            };
            self.actions.push(Action::AnswerOrder { correlation_id, result });
        }
        self.actions.push(Action::Applied(change));
    }

    pub(super) fn install_snapshot(&mut self, snapshot: &Snapshot) {
        match StateMachine::decode(&snapshot.state) {
            Ok(state_machine) => {
                self.state_machine = state_machine;
                self.last_applied = snapshot.last_included_index;
                self.actions.push(Action::SnapshotRestored);
                self.log(LogEvent::SnapshotInstalled { index: snapshot.last_included_index });
            }
            Err(error) => {
                self.raft.stop_participating();
                self.log(LogEvent::SnapshotUnreadable { reason: error.to_string() });
            }
        }
    }
}
