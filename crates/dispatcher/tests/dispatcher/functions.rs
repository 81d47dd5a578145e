//! Functions: load requests for them, and when they are released.

use super::support::*;
use milletpath_dispatcher::dispatcher::Action;
use milletpath_policy::Outcome;

/// A load request that is never answered times out, and a late response to it is ignored.
#[test]
fn unanswered_load_request_times_out() {
    let config = gateway_config(Effect::Idempotent.setting(), "probes = false\nmisses = true");
    let mut dispatcher = dispatcher_with(&config, &ready_entries(1));
    let request = submit(&mut dispatcher, 1.0, 1.0);
    let sent = take_attempts(&mut dispatcher)[0];
    dispatcher.begin_attempt(1.0, request, sent.attempt);
    end_attempt(&mut dispatcher, 1.01, sent, Outcome::NotLoaded);
    let load_request = take_actions(&mut dispatcher).into_iter().find_map(|action| match action {
        Action::LoadFunction { load_request, .. } => Some(load_request),
        _ => None,
    });
    let load_request = load_request.expect("a load request");
    advance_to(&mut dispatcher, 3.2);
    assert!(!dispatcher.begin_load_request(3.3, load_request));
    dispatcher.load_request_ended(3.3, load_request, Outcome::Succeeded, 1);
}

/// Of many functions that are called only once, only recent ones stay in memory.
#[test]
fn one_off_functions_are_released() {
    let config = gateway_config(Effect::Idempotent.setting(), &format!("{ATTEMPTS_ONLY}\nkeep = 5"));
    let mut dispatcher = dispatcher_with(&config, &ready_entries(8));
    let mut most_known = 0;
    for number in 0..60_000 {
        let now = 1.0 + f64::from(number) * 0.005;
        dispatcher.advance(now);
        take_actions(&mut dispatcher);
        let function = format!("once-{number}");
        let request = dispatcher.submit(now, incoming(&function, 1.0), 0).unwrap();
        for sent in take_attempts(&mut dispatcher) {
            dispatcher.begin_attempt(now, sent.request, sent.attempt);
            end_attempt(&mut dispatcher, now + 0.001, sent, Outcome::Succeeded);
        }
        take_actions(&mut dispatcher);
        assert!(dispatcher.context(request).is_none());
        most_known = most_known.max(dispatcher.function_count());
    }
    // 200 functions per second, kept for the 15 s in which their demand decays and until the next sweep.
    assert!(most_known < 15_000, "{most_known}");
}
