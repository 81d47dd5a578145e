use super::*;
use crate::room::Room;
use crate::station::tests::{arrive, listed, with};
use std::io::Read;

/// A worker that turned a shot away said so twice; the second copy would have ended the next shot of the same id.
#[test]
fn an_id_is_not_used_again_where_a_second_copy_may_come() {
    let mut link = Link::new(0, 1, Room::new(1).holds(0), 0.0);
    for id in 0..=PAST as u64 {
        link.open.push(Open { id, what: Sent::Probe(id), whole: 0, at: 0.0 });
        assert!(link.bears(id));
        link.end(0);
        assert!(link.bears(id));
    }
    assert!(!link.bears(0) && link.past.len() == PAST);
}

/// The socket takes nothing: what is meant for it waits unmade, and what is withdrawn meanwhile never goes. Up to 16 KiB
/// of frames were made ahead, and went when the worker took them, whoever had left.
#[test]
fn what_is_withdrawn_before_its_first_byte_goes_is_not_sent() {
    with(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let station = listed(&[address]);
        let stream = TcpStream::connect(address).await.unwrap();
        socket2::SockRef::from(&stream).set_send_buffer_size(4 << 10).unwrap();
        let (mut worker, _) = listener.accept().unwrap();
        let mut junk = 0;
        stream.writable().await.unwrap();
        while let Ok(n) = stream.try_write(&[0; 1 << 10]) {
            junk += n;
        }
        let stream = Rc::new(stream);
        let key = {
            let mut s = station.borrow_mut();
            let (_, process) = s.desk.address(0);
            let mut link = Link::new(0, process, s.room.holds(0), 0.0);
            link.stream = Some(stream.clone());
            let key = s.links.insert(link);
            s.reach.entry(0).or_default().push(key);
            let tags = [5, 6].map(|id| arrive(&mut s, id));
            s.carry_out();
            let link = &s.links[key];
            assert_eq!((link.waiting.len(), link.open.len(), link.out.left(), link.made), (2, 0, 0, 0));
            let now = s.now();
            s.desk.left(now, tags[0]);
            s.carry_out();
            key
        };
        let mut read = vec![0; junk];
        worker.read_exact(&mut read).unwrap();
        stream.writable().await.unwrap();
        station.borrow_mut().link_writes(key);
        let mut head = [0; 16];
        worker.read_exact(&mut head).unwrap();
        assert_eq!((head[1], head[15]), (2, 6), "the one that was not withdrawn");
        let s = station.borrow();
        let link = &s.links[key];
        assert_eq!((link.waiting.len(), link.open.len()), (0, 1));
        assert_eq!(link.made, link.written);
    });
}

/// Descriptors of our own had run out, and each worker that was dialled meanwhile was taken for one that is not reached.
#[test_case::test_case(nix::errno::Errno::EMFILE, true; "no descriptor")]
#[test_case::test_case(nix::errno::Errno::ENFILE, true; "none on the whole system")]
#[test_case::test_case(nix::errno::Errno::EADDRNOTAVAIL, true; "no port")]
#[test_case::test_case(nix::errno::Errno::ECONNREFUSED, false; "refused")]
#[test_case::test_case(nix::errno::Errno::EHOSTUNREACH, false; "no way there")]
fn want_of_our_own_says_nothing_of_a_worker(errno: nix::errno::Errno, own: bool) {
    assert_eq!(own_fault(&std::io::Error::from_raw_os_error(errno as i32)), own);
}
