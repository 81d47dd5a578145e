use super::*;

/// Number of messages without entries that the byte limit permits in one second.
const MESSAGES_PER_SECOND: usize = (MAX_BYTES_PER_SECOND / ENVELOPE_BYTES) as usize;

fn push_all(outbox: &mut Outbox, now: f64) -> usize {
    std::iter::repeat_with(|| outbox.try_push(now, 1, Message::default()))
        .take_while(|is_queued| *is_queued)
        .count()
}

#[test]
fn messages_beyond_the_byte_rate_are_refused_until_time_passes() {
    let mut outbox = Outbox::new(0.0);
    assert_eq!(push_all(&mut outbox, 0.0), MESSAGES_PER_SECOND, "66 messages of 150 bytes");
    assert_eq!(push_all(&mut outbox, 0.5), 34, "5,000 bytes refilled and 100 bytes left over");
    assert_eq!(push_all(&mut outbox, 100.0), MESSAGES_PER_SECOND);
}

#[test]
fn the_queue_is_bounded_however_much_time_passes() {
    let mut outbox = Outbox::new(0.0);
    let queued: usize = (0..100).map(|second| push_all(&mut outbox, f64::from(second))).sum();
    assert_eq!(queued, MAX_QUEUED_MESSAGES);
    assert!(outbox.pop().is_some());
    assert_eq!(push_all(&mut outbox, 100.0), 1);
}
