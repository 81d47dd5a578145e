use crate::memory_budget::MemoryBudget;
use crate::platform_router::tests::{
    ends, let_others_run, router_with_effect, router_with_workers, run_local, submit_request,
};
use crate::platform_router::{AwaitedResponse, OutstandingFrame, RECENT_IDS, WorkerConnection};
use crate::socket_errors::{self, FaultOrigin, Operation};
use nix::errno::Errno;
use std::io::{Read, Write};
use std::rc::Rc;
use test_case::test_case;
use tokio::net::TcpStream;

/// Guards against reusing the id of a recent frame: a duplicate rejection would end the next attempt with that id.
#[test]
fn recent_frame_ids_are_not_reused() {
    let mut connection = WorkerConnection::new(0, 1, MemoryBudget::new(1).reserve(0), 0.0, 0.25);
    for id in 0..=RECENT_IDS as u64 {
        connection.outstanding.push(OutstandingFrame {
            id,
            awaited: AwaitedResponse::HealthCheck { serial: id },
            end_offset: 0,
            encoded_at: 0.0,
        });
        assert!(connection.uses_id(id));
        connection.finish_frame(0);
        assert!(connection.uses_id(id));
    }
    assert!(!connection.uses_id(0) && connection.recent_ids.len() == RECENT_IDS);
}

/// While the socket accepts nothing, queued frames are not encoded, and those that are cancelled are never sent. Up
/// to 16 KiB of frames used to be encoded ahead, and were sent later even if their clients had disconnected.
#[test]
fn attempt_cancelled_before_its_first_byte_is_not_sent() {
    run_local(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let router = router_with_workers(&[address]);
        let stream = TcpStream::connect(address).await.unwrap();
        socket2::SockRef::from(&stream).set_send_buffer_size(4 << 10).unwrap();
        let (mut worker, _) = listener.accept().unwrap();
        let mut filler = 0;
        stream.writable().await.unwrap();
        while let Ok(n) = stream.try_write(&[0; 1 << 10]) {
            filler += n;
        }
        let stream = Rc::new(stream);
        let slot = {
            let mut state = router.borrow_mut();
            let process = state.dispatcher.worker_process(0).process;
            let mut connection = WorkerConnection::new(0, process, state.memory_budget.reserve(0), 0.0, 0.25);
            connection.stream = Some(stream.clone());
            let slot = state.worker_connections.insert(connection);
            state.connections_by_worker.entry(0).or_default().push(slot);
            let requests = [5, 6].map(|id| submit_request(&mut state, id));
            state.run_actions();
            let connection = &state.worker_connections[slot];
            assert_eq!(
                (
                    connection.queue.len(),
                    connection.outstanding.len(),
                    connection.write_buffer.remaining(),
                    connection.bytes_encoded
                ),
                (2, 0, 0, 0)
            );
            let now = state.now();
            state.dispatcher.client_gone(now, requests[0]);
            state.run_actions();
            slot
        };
        let mut read = vec![0; filler];
        worker.read_exact(&mut read).unwrap();
        stream.writable().await.unwrap();
        router.borrow_mut().flush_worker(slot);
        let mut head = [0; 16];
        worker.read_exact(&mut head).unwrap();
        assert_eq!((head[1], head[15]), (2, 6), "only the attempt that was not cancelled is sent");
        let state = router.borrow();
        let connection = &state.worker_connections[slot];
        assert_eq!((connection.queue.len(), connection.outstanding.len()), (0, 1));
        assert_eq!(connection.bytes_encoded, connection.bytes_written);
    });
}

/// Guards against counting a local fault against the worker: when descriptors ran out, every worker that the router
/// tried to connect to counted as unreachable.
#[test_case(Errno::EMFILE, true; "process limit on descriptors")]
#[test_case(Errno::ENFILE, true; "system limit on descriptors")]
#[test_case(Errno::EADDRNOTAVAIL, true; "no free port")]
#[test_case(Errno::ENETUNREACH, true; "no route")]
#[test_case(Errno::ECONNABORTED, true; "aborted by this host")]
#[test_case(Errno::EAGAIN, true; "no free routing entry")]
#[test_case(Errno::ECONNREFUSED, false; "refused")]
#[test_case(Errno::EHOSTUNREACH, false; "host unreachable")]
fn local_connect_error_is_not_attributed_to_the_worker(errno: Errno, is_local: bool) {
    let fault = socket_errors::classify(Operation::Connect, &std::io::Error::from_raw_os_error(errno as i32));
    assert_eq!(fault.origin == FaultOrigin::Local, is_local);
}

/// With calls queued for a socket that accepts nothing for a second, each frame states the time that its client has
/// left as the first byte is written, not what was left when the call was queued.
#[test]
fn queued_frame_states_the_time_left_when_written() {
    run_local(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let router = router_with_effect("free", 3_000_000, &[address]);
        let stream = TcpStream::connect(address).await.unwrap();
        socket2::SockRef::from(&stream).set_send_buffer_size(4 << 10).unwrap();
        let (mut worker, _) = listener.accept().unwrap();
        worker.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        let mut filler = 0;
        stream.writable().await.unwrap();
        while let Ok(n) = stream.try_write(&[0; 1 << 10]) {
            filler += n;
        }
        let stream = Rc::new(stream);
        let (slot, arrived) = {
            let mut state = router.borrow_mut();
            let process = state.dispatcher.worker_process(0).process;
            let mut connection = WorkerConnection::new(0, process, state.memory_budget.reserve(0), 0.0, 3.0);
            connection.stream = Some(stream.clone());
            let slot = state.worker_connections.insert(connection);
            state.connections_by_worker.entry(0).or_default().push(slot);
            let arrived = state.now();
            for id in 1..=10 {
                submit_request(&mut state, id);
            }
            state.run_actions();
            (slot, arrived)
        };
        let queued = router.borrow().worker_connections[slot].queue.len();
        assert!(queued > 1, "{queued}");
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        let mut read = vec![0; filler];
        worker.read_exact(&mut read).unwrap();
        stream.writable().await.unwrap();
        let remaining = arrived + 2.0 - router.borrow().now();
        router.borrow_mut().flush_worker(slot);
        for _ in 0..queued {
            let mut head = [0; 16];
            worker.read_exact(&mut head).unwrap();
            let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
            let mut rest = vec![0; fields + head[7] as usize + 4];
            worker.read_exact(&mut rest).unwrap();
            let text = String::from_utf8_lossy(&rest[..fields]).into_owned();
            let budget = text.split(',').find_map(|field| field.strip_prefix("budget=")).unwrap();
            let budget: f64 = budget.parse().unwrap();
            assert!(budget <= remaining * 1e3 + 5.0, "{budget} with {remaining} s left");
        }
    });
}

/// Guards against a connection's task that waited for its socket, always writable, while its queue waited for discovery.
#[test]
fn a_connection_whose_queue_is_held_back_lets_other_tasks_run() {
    /// More than is read before something is sent. There is no task that reads the rest.
    const UNREAD: usize = 64 << 10;
    let ended = ends(|| async {
        let worker = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let router = router_with_effect("free", 60_000_000, &[worker.local_addr().unwrap()]);
        let stream = Rc::new(TcpStream::connect(discovery.local_addr().unwrap()).await.unwrap());
        let (mut theirs, _) = discovery.accept().unwrap();
        theirs.write_all(&[b' '; UNREAD]).unwrap();
        router.borrow_mut().discovery.attach(stream);
        // The socket counts as empty for a short time after the start.
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        submit_request(&mut router.borrow_mut(), 7);
        router.borrow_mut().run_actions();
        while router.borrow().discovery.backlog.is_none() {
            let_others_run(1).await;
        }
        let_others_run(100).await;
        let state = router.borrow();
        let queued =
            state.worker_connections.iter().map(|(_, connection)| connection.queue.len()).sum::<usize>();
        assert!(queued > 0, "nothing is held back");
    });
    assert!(ended);
}

/// Guards against work that is held back until the next event, though its time is over.
#[test]
fn held_back_work_is_placed_again_when_it_is_overdue() {
    const UNREAD: usize = 64 << 10;
    run_local(async {
        let worker = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let router = router_with_effect("free", 250_000, &[worker.local_addr().unwrap()]);
        let stream = Rc::new(TcpStream::connect(discovery.local_addr().unwrap()).await.unwrap());
        let (mut theirs, _) = discovery.accept().unwrap();
        theirs.write_all(&[b' '; UNREAD]).unwrap();
        router.borrow_mut().discovery.attach(stream);
        tokio::task::spawn_local(crate::run::run_timer(router.clone()));
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        submit_request(&mut router.borrow_mut(), 7);
        router.borrow_mut().run_actions();
        while router.borrow().discovery.backlog.is_none() {
            let_others_run(1).await;
        }
        // Half of the connect timeout, and as much again.
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        let backlog = router.borrow().discovery.backlog.as_ref().map(|backlog| backlog.since);
        let now = router.borrow().now();
        assert!(
            backlog.is_none_or(|since| now - since < 0.2),
            "held back since {backlog:?}, now it is {now}"
        );
    });
}
