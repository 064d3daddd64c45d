//! A proxy's replica: digest collisions, resyncs, and tables of another supervisor.

use shalereel_store::{
    Check, DeltaOutcome, Digest, Line, Lines, Provenance, Replica, ResyncBackoff, RetentionLimits, Store,
    Subscription,
};

const TABLE: u16 = 0;
const MILLI: u64 = 1_000_000;

fn limits() -> RetentionLimits {
    RetentionLimits { versions: 40, bytes: 1 << 20, age: u64::MAX }
}

/// Guards against a lasting digest collision: a wrong line with a matching digest is detected once the salt changes.
#[test]
fn colliding_line_is_detected_once_the_salt_changes() {
    let mut store = Store::new(limits(), 1);
    let line =
        |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, incarnation: 1 };
    let provenance = Provenance::new("module", "");
    store.publish(TABLE, [(1, Some(line(10))), (2, Some(line(20)))], 1, &provenance);
    let mut replica = Replica::new(ResyncBackoff::new(MILLI, 1));
    let mut complete = store.delta_from(TABLE, 0).unwrap();
    // Simulates a collision: the delta has a wrong line, and a digest that matches it.
    complete.changed[0].1.weight = 11;
    let lines: Lines = complete.changed.iter().copied().collect();
    complete.check.digest = Digest::of(&lines, complete.check.salt);
    assert_eq!(replica.receive(0, &complete), DeltaOutcome::Applied);
    let offset = complete.check.digest.sum.wrapping_sub(store.check(TABLE).unwrap().digest.sum);
    let first = complete.check.salt;
    for weight in 100..1000 {
        let from = store.newest_version(TABLE);
        store.publish(TABLE, [(2, Some(line(weight)))], 1, &provenance);
        let mut delta = store.delta_from(TABLE, from).unwrap();
        if delta.check.salt == first {
            delta.check.digest.sum = delta.check.digest.sum.wrapping_add(offset);
            assert_eq!(replica.receive(0, &delta), DeltaOutcome::Applied);
            continue;
        }
        assert_eq!(replica.receive(0, &delta), DeltaOutcome::Mismatch);
        assert_eq!((replica.verified(), replica.resync(MILLI)), (None, None));
        assert_eq!(replica.receive(0, &store.delta_from(TABLE, 0).unwrap()), DeltaOutcome::Applied);
        assert_eq!(replica.lines()[&1].weight, 10);
        return;
    }
    panic!("the salt never changed");
}

#[test]
fn resyncs_of_a_fleet_are_spread_over_time() {
    let mut store = Store::new(limits(), 1);
    let line = Line { address: ([127, 1, 0, 1], 80).into(), weight: 1, draining: false, incarnation: 1 };
    store.publish(TABLE, [(1, Some(line))], 1, &Provenance::default());
    let mut broken = store.delta_from(TABLE, 0).unwrap();
    broken.check.digest.sum ^= 1;
    let mut replicas: Vec<Replica> =
        (0..200).map(|seed| Replica::new(ResyncBackoff::new(100 * MILLI, seed))).collect();
    let (mut resyncs, mut max_in_one_step) = (0, 0);
    for step in 0..1000 {
        let now = step * 10 * MILLI;
        let mut in_this_step = 0;
        for replica in &mut replicas {
            if step == 0 {
                replica.receive(now, &broken);
            } else if replica.resync_due().is_some_and(|due| due <= now) {
                replica.resync(now);
                replica.receive(now, &broken);
                in_this_step += 1;
            }
        }
        resyncs += in_this_step;
        max_in_one_step = max_in_one_step.max(in_this_step);
    }
    // In ten seconds, with delays that double up to 6.4 s, each replica resyncs about eight times. At most 60 of the 200
    // replicas do so in the same step.
    assert!(resyncs <= 200 * 9 && max_in_one_step <= 60, "{resyncs} in all, {max_in_one_step} at once");
}

#[test]
fn table_of_another_supervisor_is_recognized_by_its_digest() {
    let line =
        |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, incarnation: 1 };
    let provenance = Provenance::default();
    let (mut old_supervisor, mut new_supervisor) = (Store::new(limits(), 1), Store::new(limits(), 2));
    for weight in 1..30 {
        old_supervisor.publish(TABLE, [(1, Some(line(weight)))], 1, &provenance);
    }
    new_supervisor.publish(TABLE, [(1, Some(line(29)))], 1, &provenance);
    let mut replica = Replica::new(ResyncBackoff::new(MILLI, 1));
    assert_eq!(replica.receive(0, &old_supervisor.delta_from(TABLE, 0).unwrap()), DeltaOutcome::Applied);
    replica.stream_reopened();
    let mut subscription = Subscription::default();
    subscription.on_request(&new_supervisor, TABLE, replica.verified());
    let delta =
        new_supervisor.delta_from(TABLE, subscription.next_base(&new_supervisor, TABLE).unwrap()).unwrap();
    assert_eq!((delta.line_count(), delta.check.number), (0, 1));
    assert_eq!(replica.receive(0, &delta), DeltaOutcome::Applied);
    // From then on the replica follows the version numbers of the other supervisor.
    new_supervisor.publish(TABLE, [(1, Some(line(40)))], 1, &provenance);
    assert_eq!(replica.receive(0, &new_supervisor.delta_from(TABLE, 1).unwrap()), DeltaOutcome::Applied);
    assert_eq!(replica.lines()[&1].weight, 40);
    // A replica whose lines match no version of this supervisor gets the complete table.
    let unknown = Check { number: 5, ..old_supervisor.check(TABLE).unwrap() };
    subscription.on_request(&new_supervisor, TABLE, Some(unknown));
    assert_eq!(subscription.next_base(&new_supervisor, TABLE), Some(0));
}
