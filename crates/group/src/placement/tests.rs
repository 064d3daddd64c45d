//! Tests for the placement of duties, drains and key ranges.

use super::*;
use crate::wire::{AssignDuty, Command, CommandPayload, MoveRange, OperatorOrder};

fn apply(state_machine: &mut StateMachine, index: LogIndex, payload: CommandPayload) {
    state_machine.apply(index, 1, &Command { request_id: 0, payload: Some(payload) }, None);
}

#[test]
fn only_duties_of_a_removed_member_move() {
    let mut state_machine = StateMachine::default();
    let duties: Vec<Duty> = (0..64).map(Duty::PlaceRange).collect();
    let all: BTreeSet<MemberId> = (0..4).collect();
    let first = duty_assignments(&state_machine, &duties, &all, &all);
    for (index, (duty, holder)) in first.into_iter().enumerate() {
        let assign = AssignDuty { duty: Some(duty.into()), holder };
        apply(&mut state_machine, index as u64 + 1, CommandPayload::AssignDuty(assign));
    }
    let held_by =
        |member: MemberId| state_machine.duties().values().filter(|held| held.holder == member).count();
    let held: Vec<usize> = (0..4).map(held_by).collect();
    assert!(held.iter().all(|&count| count >= 6), "{held:?}");
    let without_2: BTreeSet<MemberId> = [0, 1, 3].into();
    let moved = duty_assignments(&state_machine, &duties, &without_2, &without_2);
    assert_eq!(moved.len(), held[2]);
    let held_by_2 = |duty: Duty| state_machine.assignment(duty).is_some_and(|held| held.holder == 2);
    assert!(moved.iter().all(|(duty, _)| held_by_2(*duty)));
    // No duty is reassigned while all members are present.
    assert_eq!(duty_assignments(&state_machine, &duties, &all, &all), vec![]);
}

#[test]
fn drains_begin_for_at_most_a_third_of_the_ready_servers() {
    let mut state_machine = StateMachine::default();
    for server in 0..4 {
        let drain = OperatorOrder { server, locality: 1, weight_cap_millionths: None };
        apply(&mut state_machine, 10 + u64::from(server), CommandPayload::OperatorOrder(drain));
    }
    assert_eq!(drains_to_begin(&state_machine, 1, 6), vec![10, 11]);
    assert_eq!(drains_to_begin(&state_machine, 1, 2), vec![10]);
    assert_eq!(drains_to_begin(&state_machine, 0, 6), Vec::<LogIndex>::new());
}

#[test]
fn range_moves_only_when_its_owner_is_not_ready() {
    let server = |server, accepts_ranges, ready| {
        (server, ServerAvailability { server, locality: 0, accepts_ranges, ready })
    };
    let mut state_machine = StateMachine::default();
    let servers: BTreeMap<u32, ServerAvailability> =
        [server(1, true, true), server(2, true, true), server(3, false, true)].into();
    let first = next_owner(&state_machine, 0, &servers).unwrap();
    assert!(first < 3);
    let move_range = MoveRange { range: 0, to_server: first, epoch: 0 };
    apply(&mut state_machine, 5, CommandPayload::MoveRange(move_range));
    assert_eq!(next_owner(&state_machine, 0, &servers), None);
    let none_accepts: BTreeMap<u32, ServerAvailability> =
        [server(1, false, true), server(2, false, true)].into();
    assert_eq!(next_owner(&state_machine, 0, &none_accepts), None, "no server accepts ranges");
    let other_server: BTreeMap<u32, ServerAvailability> = [server(3 - first, true, true)].into();
    assert_eq!(next_owner(&state_machine, 0, &other_server), Some(3 - first));
}
