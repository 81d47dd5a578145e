use super::*;

#[test]
fn request_id_is_accepted_once_in_any_order() {
    let mut request_ids_seen = RequestIdsSeen::default();
    let accepted: Vec<_> = [1, 3, 2, 2, 3, 200, 199, 137, 136, 1].map(|n| request_ids_seen.insert(n)).into();
    assert_eq!(accepted, [true, true, true, false, false, true, true, true, false, false]);
}
