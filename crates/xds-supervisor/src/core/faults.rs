//! Faults that are injected into the controller's actions for drills. Never enabled in production.

use shalereel::interface::{Action, Nanos, RetryPolicy};

use super::Core;
use crate::deployment::InjectedFault;

/// Weight that `NoSlowStart` gives to a server in slow start: many times any regular weight.
const SLOW_START_WEIGHT: f64 = 1e4;
/// With every batch of actions, each line of a table alternates between this weight and `HIGH_FLOOD_WEIGHT`.
const LOW_FLOOD_WEIGHT: f64 = 1.0;
const HIGH_FLOOD_WEIGHT: f64 = 1.3;
/// A line whose weight is above this one has the high weight.
const FLOOD_THRESHOLD: f64 = 1.2;

impl Core {
    /// Alters actions as the injected fault demands; without one, returns them unchanged.
    pub(super) fn inject_fault(&self, now: Nanos, actions: Vec<Action>) -> Vec<Action> {
        let Some(fault) = self.deployment.injected_fault else { return actions };
        let mut actions: Vec<Action> =
            actions.into_iter().filter_map(|action| self.altered(now, fault, action)).collect();
        if fault == InjectedFault::FloodUpdates {
            actions.extend(self.tables.weights(0).map(|(server, weight)| {
                let weight = if weight > FLOOD_THRESHOLD { LOW_FLOOD_WEIGHT } else { HIGH_FLOOD_WEIGHT };
                Action::SetWeight { table: 0, server, weight }
            }));
        }
        actions
    }

    fn altered(&self, now: Nanos, fault: InjectedFault, action: Action) -> Option<Action> {
        let slow_start = self.config.slow_start_duration;
        match (fault, action) {
            (InjectedFault::IgnoreDraining, Action::Exclude { .. }) => None,
            (InjectedFault::IgnoreDraining, Action::SetWeight { server, weight, .. })
                if weight == 0.0 && self.endpoints.is_unlisted_or_listed_draining(server) =>
            {
                None
            }
            (InjectedFault::RetryEverything, Action::LimitAdmission { table, operations, limit, .. }) => {
                Some(Action::LimitAdmission { table, operations, limit, retry_policy: RetryPolicy::Twice })
            }
            (InjectedFault::NoSlowStart, Action::SetWeight { table, server, .. })
                if self.endpoints.started_within(server, now, slow_start) =>
            {
                Some(Action::SetWeight { table, server, weight: SLOW_START_WEIGHT })
            }
            (InjectedFault::EmptyTables, Action::SetWeight { table, server, .. }) => {
                Some(Action::SetWeight { table, server, weight: 0.0 })
            }
            (_, action) => Some(action),
        }
    }
}
