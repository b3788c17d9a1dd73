use super::*;
use std::time::Duration;

fn leadership_until(until: Instant) -> Option<Leadership> {
    Some(Leadership { term: 7, highest_fencing_token: 9, valid_until: until })
}

/// A message decided in one term must not be sent in another term, nor after the authority
/// expired. All tokens from the term to the highest one are permitted.
#[test]
fn permits_only_tokens_of_an_unexpired_leadership() {
    let authority = Authority::default();
    assert_eq!(authority.term(), None);
    authority.set(leadership_until(Instant::now() + Duration::from_secs(3_600)));
    assert_eq!(authority.term(), Some(7));
    assert!(authority.permits(7) && authority.permits(8) && authority.permits(9));
    assert!(!authority.permits(6) && !authority.permits(10));
    authority.set(leadership_until(Instant::now()));
    assert!(!authority.permits(7));
    authority.set(None);
    assert!(!authority.permits(7));
}
