//! Checks the shared structures under all interleavings of two threads, and the mailbox also with three. Run with
//! `cargo test -p milletpath-multicore --features loom --test interleavings`.

use loom::sync::atomic::{AtomicUsize, Ordering};
use loom::sync::{Arc, Mutex};
use loom::thread;
use milletpath_multicore::budget::Budget;
use milletpath_multicore::heartbeat::Heartbeat;
use milletpath_multicore::mailbox::Mailbox;
use milletpath_multicore::response_claim::ResponseClaim;

/// Two senders and an owner that sleeps until woken: every message is taken, the messages of each sender in order, and
/// none stays in the mailbox of an owner that nobody woke.
#[test]
fn no_message_is_left_with_a_sleeping_owner() {
    loom::model(|| {
        let (mailbox, woken) = (Arc::new(Mailbox::new(8)), Arc::new(Mutex::new(false)));
        let sender = |from: u8, messages: u8| {
            let (mailbox, woken) = (mailbox.clone(), woken.clone());
            thread::spawn(move || {
                for n in 0..messages {
                    if mailbox.push((from, n)).unwrap() {
                        *woken.lock().unwrap() = true;
                    }
                }
            })
        };
        let senders = [sender(0, 2), sender(1, 1)];
        let mut received = Vec::new();
        // The owner empties its mailbox once while the senders push, if it was woken.
        if std::mem::take(&mut *woken.lock().unwrap()) {
            received.extend(mailbox.take_all());
        }
        senders.into_iter().for_each(|s| s.join().unwrap());
        if std::mem::take(&mut *woken.lock().unwrap()) {
            received.extend(mailbox.take_all());
        }
        assert!(mailbox.is_empty(), "left behind");
        for (from, sent) in [(0, 2), (1, 1)] {
            let numbers: Vec<u8> = received.iter().filter(|(f, _)| *f == from).map(|(_, n)| *n).collect();
            assert_eq!(numbers, (0..sent).collect::<Vec<u8>>());
        }
    });
}

/// Shows that the test above can fail: an owner that clears its wake-up flag only after it emptied the mailbox misses
/// the second message.
#[test]
#[should_panic = "left behind"]
fn a_wake_up_flag_that_is_cleared_too_late_leaves_a_message_behind() {
    loom::model(|| {
        let (mailbox, woken) = (Arc::new(Mailbox::new(8)), Arc::new(Mutex::new(false)));
        let (inbox, flag) = (mailbox.clone(), woken.clone());
        let sender = thread::spawn(move || {
            for n in 0..2 {
                if inbox.push(n).unwrap() {
                    *flag.lock().unwrap() = true;
                }
            }
        });
        if *woken.lock().unwrap() {
            mailbox.take_all();
            *woken.lock().unwrap() = false;
        }
        sender.join().unwrap();
        if std::mem::take(&mut *woken.lock().unwrap()) {
            mailbox.take_all();
        }
        assert!(mailbox.is_empty(), "left behind");
    });
}

#[test]
fn a_budget_is_never_exceeded_and_all_of_it_can_be_used() {
    loom::model(|| {
        let (budget, acquired) = (Arc::new(Budget::new(2)), Arc::new(AtomicUsize::new(0)));
        let threads = [0].map(|_| {
            let (budget, acquired) = (budget.clone(), acquired.clone());
            thread::spawn(move || {
                if budget.try_acquire(1) {
                    acquired.fetch_add(1, Ordering::Relaxed);
                    assert!(budget.used() <= 2);
                }
            })
        });
        let acquired_here = usize::from(budget.try_acquire(1)) + usize::from(budget.try_acquire(1));
        threads.into_iter().for_each(|t| t.join().unwrap());
        assert_eq!(acquired_here + acquired.load(Ordering::Relaxed), 2);
        budget.release(1);
        assert!(budget.try_acquire(1) && !budget.try_acquire(1));
    });
}

/// A stalled core resumes while another thread takes over its response: exactly one of them responds.
#[test]
fn exactly_one_thread_sends_the_final_response() {
    loom::model(|| {
        let (claim, responses) = (Arc::new(ResponseClaim::default()), Arc::new(AtomicUsize::new(0)));
        assert!(claim.expect_response());
        let (other_claim, count) = (claim.clone(), responses.clone());
        let other = thread::spawn(move || {
            if other_claim.take_over() {
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        if claim.begin_response() {
            responses.fetch_add(1, Ordering::Relaxed);
            // The rest of the same response.
            assert!(claim.begin_response());
        }
        other.join().unwrap();
        assert_eq!(responses.load(Ordering::Relaxed), 1);
        assert!(claim.is_taken_over() != claim.begin_response());
    });
}

/// A lost core's connection is taken over while that core reads a request: either the core may process the request, or
/// the connection is taken over, but not both.
#[test]
fn a_request_is_processed_or_its_connection_taken_over() {
    loom::model(|| {
        let claim = Arc::new(ResponseClaim::default());
        let other_claim = claim.clone();
        let other = thread::spawn(move || other_claim.take_over_idle());
        let may_process = claim.expect_response();
        let taken_over = other.join().unwrap();
        assert!(may_process != taken_over);
        assert!(!may_process || (claim.begin_response() && !claim.take_over()));
    });
}

/// A core sends a heartbeat while two threads replace it: exactly one replacement succeeds, and heartbeats of the old
/// incarnation are rejected.
#[test]
fn an_incarnation_is_replaced_once() {
    loom::model(|| {
        let (heartbeat, replacements) = (Arc::new(Heartbeat::new(0.0)), Arc::new(AtomicUsize::new(0)));
        let (other_heartbeat, count) = (heartbeat.clone(), replacements.clone());
        let other = thread::spawn(move || {
            count.fetch_add(
                usize::from(other_heartbeat.begin_next_incarnation(0, 1.0).is_some()),
                Ordering::Relaxed,
            );
        });
        heartbeat.beat(0, 2.0);
        replacements
            .fetch_add(usize::from(heartbeat.begin_next_incarnation(0, 1.0).is_some()), Ordering::Relaxed);
        other.join().unwrap();
        assert_eq!((replacements.load(Ordering::Relaxed), heartbeat.incarnation()), (1, 1));
        assert!(!heartbeat.beat(0, 3.0) && heartbeat.beat(1, 3.0) && heartbeat.last_beat() == 3.0);
    });
}
