//! Simulated operators that submit orders, sometimes the same order to two members.

use shalereel::interface::Nanos;

use super::event::Event;
use super::schedule::{MILLISECOND, SECOND};
use super::simulation::{Simulation, SERVER_COUNT};
use crate::wire::{CommandPayload, MoveRange, OperatorOrder, ReleaseOrder};

const ORDER_GAP_MIN: Nanos = 300 * MILLISECOND;
const ORDER_GAP_MAX: Nanos = 2 * SECOND;
const HALF_WEIGHT_MILLIONTHS: u32 = 500_000;

impl Simulation {
    /// Submits a random order once or twice, each time to a random member, and schedules the next order.
    pub fn submit_random_order(&mut self) {
        if self.faults_over {
            return;
        }
        let next = self.now + ORDER_GAP_MIN + self.draw(ORDER_GAP_MAX);
        self.schedule(next, Event::Order);
        let Some(payload) = self.draw_order() else { return };
        let times = 1 + self.draw(2);
        for _ in 0..times {
            self.submit_order(&payload);
        }
    }

    fn draw_order(&mut self) -> Option<CommandPayload> {
        let server = self.draw(SERVER_COUNT.into()) as u32;
        let order = |weight_cap_millionths| {
            let locality = server % 2;
            CommandPayload::OperatorOrder(OperatorOrder { server, locality, weight_cap_millionths })
        };
        match self.draw(4) {
            0 => Some(order(None)),
            1 => Some(order(Some(HALF_WEIGHT_MILLIONTHS))),
            2 => {
                let order_index = self.oldest_standing_order()?;
                Some(CommandPayload::ReleaseOrder(ReleaseOrder { order_index }))
            }
            _ => {
                let range = self.draw(self.settings.ranges.into()) as u32;
                Some(CommandPayload::MoveRange(MoveRange { range, to_server: server, epoch: 0 }))
            }
        }
    }

    /// The oldest unreleased order of the first running member that has one.
    fn oldest_standing_order(&self) -> Option<u64> {
        let mut groups = self.members.values().filter_map(|member| member.group.as_ref());
        groups.find_map(|group| group.state_machine().orders().keys().next().copied())
    }

    fn submit_order(&mut self, payload: &CommandPayload) {
        let id = self.draw_member();
        let now = self.now;
        let Some(member) = self.members.get_mut(&id).filter(|member| !member.paused) else { return };
        let clock = member.clock(now);
        let Some(group) = &mut member.group else { return };
        group.submit_order(clock, now, payload.clone());
        self.stats.orders += 1;
        self.schedule(now, Event::Wake(id));
    }
}
