use super::*;

#[test]
fn takes_what_is_given_and_keeps_the_rest() {
    assert_eq!(parse(""), Ok(Tuning::default()));
    let t = parse("tuning {\n  thin_limit = 5\n  idle_s = 20.5\n}\n").expect("valid");
    assert_eq!(t, Tuning { thin_limit: 5, idle_s: 20.5, ..Tuning::default() });
}

#[test]
fn refuses_unknown_names_and_wild_values() {
    for bad in
        ["tuning {\n  idle = 3\n}\n", "speed = 1\n", "tuning {\n", "tuning {\n  idle_s = -1\n}\n"]
    {
        assert!(parse(bad).is_err(), "{bad}");
    }
}
