//! The wheel of timers against a plain sorted list.

use milletpath_dispatcher::timer_wheel::{TimerKey, TimerWheel};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Set(f64),
    CallOff(usize),
    Pass(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let far = prop_oneof![0.0..0.3f64, 0.0..70.0f64, 0.0..4e5f64, Just(0.064), Just(4.096)];
    let step = prop_oneof![
        4 => far.clone().prop_map(Step::Set),
        1 => (0..50usize).prop_map(Step::CallOff),
        3 => far.prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    /// Every timer fires once, never early, in order, within a millisecond of its time, unless called off.
    #[test]
    fn timers_fire_as_in_a_sorted_list(steps in steps()) {
        let mut wheel = TimerWheel::default();
        let mut plain: Vec<(u64, usize)> = Vec::new();
        let mut tickets: Vec<TimerKey> = Vec::new();
        let mut now = 0.0f64;
        for step in steps {
            match step {
                Step::Set(after) => {
                    let at = now + after;
                    plain.push(((at * 1e3).ceil() as u64, tickets.len()));
                    tickets.push(wheel.set(at, tickets.len()));
                }
                Step::CallOff(n) if !tickets.is_empty() => {
                    let n = n % tickets.len();
                    let known = plain.iter().position(|&(_, id)| id == n);
                    prop_assert_eq!(wheel.call_off(tickets[n]), known.map(|_| n));
                    known.map(|at| plain.remove(at));
                }
                Step::CallOff(_) => {}
                Step::Pass(seconds) => {
                    now += seconds;
                    let tick = (now * 1e3).floor() as u64;
                    let mut due: Vec<_> = plain.iter().copied().filter(|&(at, _)| at <= tick).collect();
                    due.sort_unstable();
                    plain.retain(|&(at, _)| at > tick);
                    if let (Some(next), Some(&(at, _))) = (wheel.next(), due.first()) {
                        prop_assert!(next <= at as f64 / 1e3);
                    }
                    let fired: Vec<_> = std::iter::from_fn(|| wheel.fire(now)).collect();
                    let times: Vec<u64> = fired.iter().map(|id| due.iter().find(|d| d.1 == *id).map_or(0, |d| d.0)).collect();
                    prop_assert!(times.is_sorted());
                    let mut fired = fired;
                    fired.sort_unstable();
                    let mut ids: Vec<_> = due.iter().map(|d| d.1).collect();
                    ids.sort_unstable();
                    prop_assert_eq!(fired, ids);
                }
            }
            prop_assert_eq!(wheel.len(), plain.len());
        }
    }
}

/// A ticket kept too long would call off another's timer.
#[test]
fn an_old_ticket_calls_nothing_off() {
    let mut wheel = TimerWheel::default();
    let old = wheel.set(1.0, 'a');
    assert_eq!(wheel.fire(2.0), Some('a'));
    wheel.set(3.0, 'b');
    assert_eq!(wheel.call_off(old), None);
    assert_eq!(wheel.fire(4.0), Some('b'));
}

/// A turn taken at the very time that `next` tells always gets further, however that time is rounded.
#[test]
fn the_time_that_is_told_is_late_enough() {
    let mut wheel = TimerWheel::default();
    (0..200_000u32).for_each(|ms| {
        wheel.set(f64::from(ms) / 1e3, ms);
    });
    let mut fired = 0;
    while let Some(at) = wheel.next() {
        let before = fired;
        while wheel.fire(at).is_some() {
            fired += 1;
        }
        assert!(fired > before || wheel.next().is_none_or(|next| next > at), "stuck at {at}");
    }
    assert_eq!(fired, 200_000);
}
