use super::*;
use std::time::Duration;

/// What was decided in a term is not sent in another, nor after its end.
#[test]
fn a_decision_outlives_neither_its_term_nor_its_time() {
    let authority = Authority::default();
    assert_eq!(authority.term(), None);
    authority.set(Some((7, Instant::now() + Duration::from_secs(3_600))));
    assert!(authority.holds(7) && !authority.holds(6) && !authority.holds(8));
    authority.set(Some((7, Instant::now())));
    assert!(!authority.holds(7));
    authority.set(None);
    assert!(!authority.holds(7));
}
