//! The shared structures under all interleavings of two threads, the mailbox under those of three: `cargo test -p
//! milletpath-multicore --features loom --test interleavings`.

use loom::sync::atomic::{AtomicUsize, Ordering};
use loom::sync::{Arc, Mutex};
use loom::thread;
use milletpath_multicore::budget::Budget;
use milletpath_multicore::heartbeat::Heartbeat;
use milletpath_multicore::mailbox::Mailbox;
use milletpath_multicore::response_claim::ResponseClaim;

/// Two senders and an owner that sleeps unless woken: every message is taken, each sender's in order, and none is left
/// with an owner that nobody woke.
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
        let mut got = Vec::new();
        // The owner empties its mailbox once while they push, if it was woken.
        if std::mem::take(&mut *woken.lock().unwrap()) {
            got.extend(mailbox.take_all());
        }
        senders.into_iter().for_each(|s| s.join().unwrap());
        if std::mem::take(&mut *woken.lock().unwrap()) {
            got.extend(mailbox.take_all());
        }
        assert!(mailbox.is_empty(), "left behind");
        for (from, sent) in [(0, 2), (1, 1)] {
            let of: Vec<u8> = got.iter().filter(|(f, _)| *f == from).map(|(_, n)| *n).collect();
            assert_eq!(of, (0..sent).collect::<Vec<u8>>());
        }
    });
}

/// The test above can fail: an owner that clears its wake-up flag after emptying the mailbox misses the second message.
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
        let (budget, got) = (Arc::new(Budget::new(2)), Arc::new(AtomicUsize::new(0)));
        let takers = [0].map(|_| {
            let (budget, got) = (budget.clone(), got.clone());
            thread::spawn(move || {
                if budget.try_acquire(1) {
                    got.fetch_add(1, Ordering::Relaxed);
                    assert!(budget.used() <= 2);
                }
            })
        });
        let mine = usize::from(budget.try_acquire(1)) + usize::from(budget.try_acquire(1));
        takers.into_iter().for_each(|t| t.join().unwrap());
        assert_eq!(mine + got.load(Ordering::Relaxed), 2);
        budget.release(1);
        assert!(budget.try_acquire(1) && !budget.try_acquire(1));
    });
}

/// A stalled core resumes just as another thread takes over its response: exactly one of them responds.
#[test]
fn exactly_one_thread_sends_the_final_response() {
    loom::model(|| {
        let (claim, answers) = (Arc::new(ResponseClaim::default()), Arc::new(AtomicUsize::new(0)));
        assert!(claim.expect_response());
        let (theirs, count) = (claim.clone(), answers.clone());
        let other = thread::spawn(move || {
            if theirs.take_over() {
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        if claim.begin_response() {
            answers.fetch_add(1, Ordering::Relaxed);
            // The rest of the same response.
            assert!(claim.begin_response());
        }
        other.join().unwrap();
        assert_eq!(answers.load(Ordering::Relaxed), 1);
        assert!(claim.is_taken_over() != claim.begin_response());
    });
}

/// A lost core's connection is taken over just as that core reads a request: either the core may not process it, or the
/// connection is not taken over.
#[test]
fn a_request_is_processed_or_its_connection_taken_over() {
    loom::model(|| {
        let claim = Arc::new(ResponseClaim::default());
        let theirs = claim.clone();
        let other = thread::spawn(move || theirs.take_over_idle());
        let taken = claim.expect_response();
        let closed = other.join().unwrap();
        assert!(taken != closed);
        assert!(!taken || (claim.begin_response() && !claim.take_over()));
    });
}

/// A replaced core sends a heartbeat while two threads replace it: there is one next incarnation, and the old one is refused.
#[test]
fn an_incarnation_is_replaced_once() {
    loom::model(|| {
        let (heartbeat, successors) = (Arc::new(Heartbeat::new(0.0)), Arc::new(AtomicUsize::new(0)));
        let (theirs, count) = (heartbeat.clone(), successors.clone());
        let other = thread::spawn(move || {
            count.fetch_add(usize::from(theirs.begin_next_incarnation(0, 1.0).is_some()), Ordering::Relaxed);
        });
        heartbeat.beat(0, 2.0);
        successors
            .fetch_add(usize::from(heartbeat.begin_next_incarnation(0, 1.0).is_some()), Ordering::Relaxed);
        other.join().unwrap();
        assert_eq!((successors.load(Ordering::Relaxed), heartbeat.incarnation()), (1, 1));
        assert!(!heartbeat.beat(0, 3.0) && heartbeat.beat(1, 3.0) && heartbeat.last_beat() == 3.0);
    });
}
