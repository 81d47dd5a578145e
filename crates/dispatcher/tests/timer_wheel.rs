//! Tests the timer wheel against a plain sorted list.

use milletpath_dispatcher::timer_wheel::{TimerKey, TimerWheel};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Set(f64),
    Cancel(usize),
    Advance(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let far = prop_oneof![0.0..0.3f64, 0.0..70.0f64, 0.0..4e5f64, Just(0.064), Just(4.096)];
    let step = prop_oneof![
        4 => far.clone().prop_map(Step::Set),
        1 => (0..50usize).prop_map(Step::Cancel),
        3 => far.prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    /// Every timer that is not cancelled fires once, in order, never early and within a millisecond of its time.
    #[test]
    fn timers_fire_as_in_a_sorted_list(steps in steps()) {
        let mut wheel = TimerWheel::default();
        // Due time in milliseconds and id of each timer that is set.
        let mut sorted: Vec<(u64, usize)> = Vec::new();
        let mut keys: Vec<TimerKey> = Vec::new();
        let mut now = 0.0f64;
        for step in steps {
            match step {
                Step::Set(after) => {
                    let at = now + after;
                    sorted.push(((at * 1e3).ceil() as u64, keys.len()));
                    keys.push(wheel.set(at, keys.len()));
                }
                Step::Cancel(n) if !keys.is_empty() => {
                    let n = n % keys.len();
                    let known = sorted.iter().position(|&(_, id)| id == n);
                    prop_assert_eq!(wheel.cancel(keys[n]), known.map(|_| n));
                    known.map(|at| sorted.remove(at));
                }
                Step::Cancel(_) => {}
                Step::Advance(seconds) => {
                    now += seconds;
                    let tick = (now * 1e3).floor() as u64;
                    let mut due: Vec<_> = sorted.iter().copied().filter(|&(at, _)| at <= tick).collect();
                    due.sort_unstable();
                    sorted.retain(|&(at, _)| at > tick);
                    if let (Some(next_due), Some(&(at, _))) = (wheel.next_due(), due.first()) {
                        prop_assert!(next_due <= at as f64 / 1e3);
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
            prop_assert_eq!(wheel.len(), sorted.len());
        }
    }
}

/// A key kept after its timer fired does not cancel the next timer that reuses its node.
#[test]
fn stale_key_cancels_nothing() {
    let mut wheel = TimerWheel::default();
    let old = wheel.set(1.0, 'a');
    assert_eq!(wheel.fire(2.0), Some('a'));
    wheel.set(3.0, 'b');
    assert_eq!(wheel.cancel(old), None);
    assert_eq!(wheel.fire(4.0), Some('b'));
}

/// Firing at exactly the time returned by `next_due` makes progress, whichever way that time is rounded.
#[test]
fn advancing_to_the_next_due_time_makes_progress() {
    let mut wheel = TimerWheel::default();
    (0..200_000u32).for_each(|ms| {
        wheel.set(f64::from(ms) / 1e3, ms);
    });
    let mut fired = 0;
    while let Some(at) = wheel.next_due() {
        let fired_before = fired;
        while wheel.fire(at).is_some() {
            fired += 1;
        }
        assert!(fired > fired_before || wheel.next_due().is_none_or(|next| next > at), "no progress at {at}");
    }
    assert_eq!(fired, 200_000);
}
