use super::*;

#[test]
fn given_values_override_the_defaults() {
    assert_eq!(parse(""), Ok(Tuning::default()));
    let t = parse("tuning {\n  thin_limit = 5\n  idle_s = 20.5\n}\n").expect("valid");
    assert_eq!(t, Tuning { thin_limit: 5, idle_s: 20.5, ..Tuning::default() });
}

#[test]
fn rejects_unknown_names_and_out_of_range_values() {
    for bad in
        ["tuning {\n  idle = 3\n}\n", "speed = 1\n", "tuning {\n", "tuning {\n  idle_s = -1\n}\n"]
    {
        assert!(parse(bad).is_err(), "{bad}");
    }
}
