use super::*;

#[test]
fn it_waits_for_those_on_their_way_and_for_what_it_owes() {
    let mut leave = Leave::default();
    assert!(!leave.over(9.0, 0));
    leave.begin(10.0);
    leave.begin(10.5);
    assert!(leave.begun() && !leave.over(10.6, 0) && !leave.over(11.0, 3) && leave.over(11.0, 0));
    assert!(!leave.past(11.7) && leave.past(11.8));
}
