use super::*;

/// A body in many small chunks takes one reservation of its length, which is released with it.
#[test]
fn chunks_are_reserved_together() {
    const CHUNKS: usize = 1000;
    let budget = Arc::new(Budget::new(CHUNKS));
    let mut buffer = BodyBuffer::new(&budget);
    for _ in 0..CHUNKS {
        buffer.push(Bytes::from_static(b"x")).expect("there is room");
    }
    assert_eq!((buffer.len(), budget.used()), (CHUNKS, CHUNKS));
    assert_eq!(buffer.push(Bytes::from_static(b"x")), Err(BuffersFull));
    let body = buffer.into_body();
    assert_eq!(&body.bytes[..], vec![b'x'; CHUNKS]);
    drop(body);
    assert_eq!(budget.used(), 0);
}

#[test]
fn a_refused_chunk_leaves_no_trace() {
    let budget = Arc::new(Budget::new(4));
    let mut buffer = BodyBuffer::new(&budget);
    assert_eq!(buffer.push(Bytes::from_static(b"12345")), Err(BuffersFull));
    assert_eq!(buffer.push(Bytes::from_static(b"1234")), Ok(()));
    assert_eq!(&buffer.into_body().bytes[..], b"1234");
}
