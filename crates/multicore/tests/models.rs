//! The hand-over structures against plain sequential models, and stories of the decisions about cores.

use milletpath_multicore::budget::Budget;
use milletpath_multicore::claim::Claim;
use milletpath_multicore::deal::{Deal, LOOK, Seen};
use milletpath_multicore::mail::Mailbox;
use milletpath_multicore::watch::{Do, GIVEN_UP, STILL, Watch};
use proptest::prelude::*;

proptest! {
    /// Any sequence of puts and takes on a box is that of a bounded queue that asks for a wake when it was empty.
    #[test]
    fn a_mailbox_is_a_bounded_queue(steps in proptest::collection::vec(any::<Option<u8>>(), 0..60)) {
        const MOST: usize = 5;
        let (mail, mut model) = (Mailbox::new(MOST), Vec::new());
        for step in steps {
            match step {
                Some(letter) if model.len() < MOST => {
                    prop_assert_eq!(mail.put(letter), Ok(model.is_empty()));
                    model.push(letter);
                }
                Some(letter) => prop_assert_eq!(mail.put(letter), Err(letter)),
                None => prop_assert_eq!(Vec::from(mail.take()), std::mem::take(&mut model)),
            }
            prop_assert_eq!(mail.len(), model.len());
        }
    }

    #[test]
    fn a_budget_is_a_bounded_sum(steps in proptest::collection::vec((0usize..6, any::<bool>()), 0..60)) {
        let (budget, mut taken) = (Budget::new(10), Vec::new());
        for (much, take) in steps {
            if take {
                let fits = taken.iter().sum::<usize>() + much <= 10;
                prop_assert_eq!(budget.take(much), fits);
                taken.extend(fits.then_some(much));
            } else if let Some(much) = taken.pop() {
                budget.give_back(much);
            }
            prop_assert_eq!(budget.used(), taken.iter().sum::<usize>());
        }
    }

    /// Whatever is asked of a claim and in which order: nothing is written after the last word, and that is said only
    /// between a call and the first byte of its answer, or where nothing is owed.
    #[test]
    fn a_claim_lets_one_speak(steps in proptest::collection::vec(0u8..5, 0..40)) {
        #[derive(Clone, Copy, PartialEq)]
        enum Is { Idle, Owed, Answering, Spoken }
        let (claim, mut is) = (Claim::default(), Is::Idle);
        for step in steps {
            match step {
                0 => {
                    prop_assert_eq!(claim.owe(), is != Is::Spoken);
                    is = if is == Is::Spoken { is } else { Is::Owed };
                }
                1 => {
                    prop_assert_eq!(claim.write(), is != Is::Spoken);
                    is = if is == Is::Owed { Is::Answering } else { is };
                }
                2 => {
                    claim.rest();
                    is = if is == Is::Answering { Is::Idle } else { is };
                }
                3 => {
                    prop_assert_eq!(claim.speak(), is == Is::Owed);
                    is = if is == Is::Owed { Is::Spoken } else { is };
                }
                _ => {
                    prop_assert_eq!(claim.close(), is == Is::Idle);
                    is = if is == Is::Idle { Is::Spoken } else { is };
                }
            }
            prop_assert_eq!(claim.spoken(), is == Is::Spoken);
        }
    }
}

fn looks(deal: &mut Deal, from: f64, looks: usize, rates: &[f64], open: &[usize]) -> (f64, Vec<usize>) {
    let (mut now, mut away) = (from, vec![0; rates.len()]);
    for _ in 0..looks {
        now += LOOK;
        let seen =
            |(rate, open): (&f64, &usize)| Seen { open: *open, calls: (rate * now) as u64, still: false };
        let seen: Vec<_> = rates.iter().zip(open).map(seen).collect();
        deal.look(now, &seen).iter().for_each(|a| away[a.core] += a.connections);
    }
    (now, away)
}

#[test]
fn idle_connections_are_dealt_in_turn() {
    let mut deal = Deal::new(4, 0.0);
    let mut counts = [0; 4];
    (0..42).for_each(|_| counts[deal.pick()] += 1);
    assert!(counts.iter().all(|c| (10..=11).contains(c)), "{counts:?}");
}

/// One core has nine tenths of the calls: new connections go to the others, and some of its own are asked to go too.
#[test]
fn a_core_with_most_of_the_calls_is_relieved() {
    let mut deal = Deal::new(4, 0.0);
    let (_, away) = looks(&mut deal, 0.0, 12, &[9000.0, 333.0, 333.0, 333.0], &[30, 30, 30, 30]);
    assert!(away[0] >= 3 && away[1..] == [0, 0, 0], "{away:?}");
    let dealt: Vec<_> = (0..12).map(|_| deal.pick()).collect();
    assert!(!dealt.contains(&0), "{dealt:?}");
}

/// Alike but for chance, or hardly used, or crowded by one client alone: nobody is sent away.
#[test]
fn nobody_is_sent_away_without_need() {
    for (rates, open) in
        [([1100.0, 1000.0, 900.0], [9, 9, 9]), ([90.0, 9.0, 9.0], [9, 9, 9]), ([3000.0, 0.0, 0.0], [1, 0, 0])]
    {
        let (_, away) = looks(&mut Deal::new(3, 0.0), 0.0, 40, &rates, &open);
        assert_eq!(away, [0, 0, 0], "{rates:?}");
    }
}

#[test]
fn nothing_is_dealt_to_a_core_that_stands_still() {
    let mut deal = Deal::new(2, 0.0);
    deal.look(1.0, &[Seen { still: true, ..Seen::default() }, Seen { open: 50, ..Seen::default() }]);
    assert!((0..9).all(|_| deal.pick() == 1));
}

#[test]
fn a_core_is_stood_in_for_and_then_replaced() {
    let watch = Watch::new(0.0);
    assert_eq!(watch.look(10.0, 10.0 - STILL / 2.0), Do::Nothing);
    assert_eq!(watch.look(10.0, 9.5), Do::Answer);
    assert_eq!(watch.look(10.0, 8.5), Do::StandIn);
    assert_eq!(watch.look(10.0, 9.9 - GIVEN_UP), Do::Replace);
}

/// The watcher itself stood still, as when all of the process was stopped: the cores had no chance to be seen.
#[test]
fn nobody_is_blamed_for_the_watchers_own_standstill() {
    let mut watch = Watch::new(0.0);
    watch.moved(20.0);
    assert_eq!(watch.look(20.1, 10.0), Do::Nothing);
    assert_eq!(watch.look(20.5, 10.0), Do::Answer);
}

/// A core that dies at once each time is started ever more seldom; one that lived is replaced at once.
#[test]
fn a_place_that_keeps_losing_its_core_rests() {
    let (mut watch, mut now, mut rests) = (Watch::new(0.0), 1.0, Vec::new());
    for _ in 0..12 {
        let at = watch.lost(now);
        assert_eq!(watch.look(now + 9.0, 0.0), Do::Nothing, "there is nobody to replace");
        assert!(watch.due(at) && (at <= now || !watch.due(now)));
        rests.push(at - now);
        now = at;
        watch.filled(now);
    }
    assert!(rests[0] == 0.0 && rests.windows(2).all(|r| r[0] <= r[1] + 1e-9) && rests[11] > 9.9, "{rests:?}");
    assert_eq!(watch.lost(now + 60.0), now + 60.0);
}
