use super::*;
use std::time::Duration;

fn held(until: Instant) -> Option<Leadership> {
    Some(Leadership { term: 7, highest_fencing_token: 9, valid_until: until })
}

/// What was decided in a term is not sent in another, nor after its end. All tokens that the
/// leadership took are its own.
#[test]
fn a_decision_outlives_neither_its_term_nor_its_time() {
    let authority = Authority::default();
    assert_eq!(authority.term(), None);
    authority.set(held(Instant::now() + Duration::from_secs(3_600)));
    assert_eq!(authority.term(), Some(7));
    assert!(authority.permits(7) && authority.permits(8) && authority.permits(9));
    assert!(!authority.permits(6) && !authority.permits(10));
    authority.set(held(Instant::now()));
    assert!(!authority.permits(7));
    authority.set(None);
    assert!(!authority.permits(7));
}
