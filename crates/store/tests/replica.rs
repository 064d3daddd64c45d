//! A proxy's replica: collisions of digests, resyncs, and tables of another supervisor.

use shalereel_store::{
    Check, DeltaOutcome, Digest, Line, Lines, Provenance, Replica, ResyncBackoff, RetentionLimits, Store,
    Subscription,
};

const TABLE: u16 = 0;
const MILLI: u64 = 1_000_000;

fn limits() -> RetentionLimits {
    RetentionLimits { versions: 40, bytes: 1 << 20, age: u64::MAX }
}

/// Guards against a collision that lasts: a wrong line with the right digest is found under the next salt.
#[test]
fn digest_collision_ends_with_the_next_salt() {
    let mut store = Store::new(limits(), 1);
    let line =
        |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, incarnation: 1 };
    let provenance = Provenance::new("module", "");
    store.publish(TABLE, [(1, Some(line(10))), (2, Some(line(20)))], 1, &provenance);
    let mut replica = Replica::new(ResyncBackoff::new(MILLI, 1));
    let mut complete = store.delta_from(TABLE, 0).unwrap();
    // A wrong line, with a digest that matches it.
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
    let (mut resyncs, mut most) = (0, 0);
    for at in 0..1000 {
        let now = at * 10 * MILLI;
        let mut here = 0;
        for replica in &mut replicas {
            if at == 0 {
                replica.receive(now, &broken);
            } else if replica.resync_due().is_some_and(|due| due <= now) {
                replica.resync(now);
                replica.receive(now, &broken);
                here += 1;
            }
        }
        resyncs += here;
        most = most.max(here);
    }
    // Ten seconds, delays that double up to 6.4 s: some eight resyncs each, never more than 60 of 200 at once.
    assert!(resyncs <= 200 * 9 && most <= 60, "{resyncs} in all, {most} at once");
}

#[test]
fn table_of_another_supervisor_is_recognized_by_its_digest() {
    let line =
        |weight| Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, incarnation: 1 };
    let provenance = Provenance::default();
    let (mut ahead, mut behind) = (Store::new(limits(), 1), Store::new(limits(), 2));
    for weight in 1..30 {
        ahead.publish(TABLE, [(1, Some(line(weight)))], 1, &provenance);
    }
    behind.publish(TABLE, [(1, Some(line(29)))], 1, &provenance);
    let mut replica = Replica::new(ResyncBackoff::new(MILLI, 1));
    assert_eq!(replica.receive(0, &ahead.delta_from(TABLE, 0).unwrap()), DeltaOutcome::Applied);
    replica.stream_reopened();
    let mut subscription = Subscription::default();
    subscription.on_request(&behind, TABLE, replica.verified());
    let delta = behind.delta_from(TABLE, subscription.next_base(&behind, TABLE).unwrap()).unwrap();
    assert_eq!((delta.line_count(), delta.check.number), (0, 1));
    assert_eq!(replica.receive(0, &delta), DeltaOutcome::Applied);
    // From there on the numbers of the other supervisor count.
    behind.publish(TABLE, [(1, Some(line(40)))], 1, &provenance);
    assert_eq!(replica.receive(0, &behind.delta_from(TABLE, 1).unwrap()), DeltaOutcome::Applied);
    assert_eq!(replica.lines()[&1].weight, 40);
    // A replica with lines that neither has gets the complete table.
    let strange = Check { number: 5, ..ahead.check(TABLE).unwrap() };
    subscription.on_request(&behind, TABLE, Some(strange));
    assert_eq!(subscription.next_base(&behind, TABLE), Some(0));
}
