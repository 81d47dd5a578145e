use super::*;

#[test]
fn what_is_let_go_of_makes_room() {
    let room = Room::new(2000);
    let mut one = room.holds(600);
    let other = room.holds(300);
    assert!(!room.full());
    one.now(700);
    assert!(room.full());
    drop(other);
    assert!(!room.full() && room.held.get() == 700);
    drop(one);
    assert_eq!(room.held.get(), 0);
}
