//! Digests of sets of lines, and the text form of checks.

use shalereel_store::{Check, Digest, Line};

fn line(weight: u32) -> Line {
    Line { address: ([127, 1, 0, 1], 80).into(), weight, draining: false, incarnation: 1 }
}

#[test]
fn digest_ignores_order_and_covers_every_field_that_a_proxy_knows() {
    let (one, two) = ((7, line(5)), (9, line(6)));
    let both = Digest::of([(&one.0, &one.1), (&two.0, &two.1)], 3);
    let mut updated = Digest::of([(&two.0, &two.1)], 3);
    updated.add(one.0, &one.1, 3);
    assert_eq!(updated, both);
    updated.remove(two.0, &two.1, 3);
    assert_eq!(updated, Digest::of([(&one.0, &one.1)], 3));
    let others = [
        (8, one.1),
        (7, Line { weight: 6, ..one.1 }),
        (7, Line { draining: true, ..one.1 }),
        (7, Line { address: ([127, 1, 0, 1], 81).into(), ..one.1 }),
    ];
    for (server, other) in others {
        assert_ne!(Digest::of([(&server, &other)], 3), Digest::of([(&one.0, &one.1)], 3));
    }
    assert_ne!(Digest::of([(&one.0, &one.1)], 3).sum, Digest::of([(&one.0, &one.1)], 4).sum);
    // Proxies do not know the incarnation.
    let restarted = Line { incarnation: 2, ..one.1 };
    assert_eq!(Digest::of([(&one.0, &restarted)], 3), Digest::of([(&one.0, &one.1)], 3));
    // Guards against a digest by exclusive or, in which a line that is added twice cancels itself out.
    let mut twice = both;
    twice.add(one.0, &one.1, 3);
    assert!(twice != both && twice.sum != Digest::of([(&two.0, &two.1)], 3).sum);
}

#[test]
fn check_is_parsed_from_its_text_form_and_from_no_other_text() {
    let check = Check { number: 812, digest: Digest { count: 3, sum: u128::MAX - 1 }, salt: 77 };
    assert_eq!(Check::parse(&check.to_string()), Some(check));
    for wrong in ["", "1", "1:2:3", "1:2:zz:4", "1:2:3:4:5", "-1:2:3:4"] {
        assert_eq!(Check::parse(wrong), None, "{wrong}");
    }
}
