//! Stories of whole fleets in simulated time, each with its seeds.

mod net;

use milletpath_membership::{Event, Hears, State, Terms};
use net::{Net, calm, lossy};
use rand::Rng;
use test_case::test_case;

/// Budgets with the shortest window, so that the sum of the parts is looked at as sharply as it can be.
fn sharp() -> Terms {
    Terms { window: 0.0, floor: 0.5, ..Terms::default() }
}

fn settled(size: usize, seed: u64) -> Net {
    let mut net = Net::new(size, 1.max(size / 8), sharp(), seed);
    net.watch = size <= 30;
    net.begin_all();
    net.play(10.0);
    assert!(net.agree(), "{} gateways know each other within 10 s", size);
    net
}

fn all_use(net: &Net) -> f64 {
    assert!(net.over.0 < 1e-9, "used {} too much at {:.3} s", net.over.0, net.over.1);
    net.used()
}

#[test_case(3; "three")]
#[test_case(12; "twelve")]
#[test_case(24; "twenty-four")]
fn a_fleet_finds_itself_from_its_seeds(size: usize) {
    let net = settled(size, 1);
    for node in &net.nodes {
        assert_eq!(node.peers.as_ref().unwrap().hears(), Hears::Majority);
    }
    // Nothing is left unused, and nobody has more than its part.
    assert!((all_use(&net) - 1.0).abs() < 1e-9, "{}", net.used());
}

#[test_case(1)]
#[test_case(2)]
fn the_dead_are_missed_and_their_part_goes_to_the_rest(seed: u64) {
    let mut net = settled(12, seed);
    (0..4).for_each(|n| net.kill(n));
    let killed = net.now;
    net.play(killed + 6.0);
    assert!(net.agree());
    net.play(killed + 12.0);
    // Four floors of a twelfth each are kept for them, as nobody can tell a dead one from one that is cut off.
    let floors = 4.0 * net.terms.floor / 12.0;
    assert!((all_use(&net) - (1.0 - floors)).abs() < 1e-9, "{}", net.used());
    (0..4).for_each(|n| net.begin(n));
    net.play(killed + 30.0);
    assert!(net.agree() && (all_use(&net) - 1.0).abs() < 1e-9);
}

/// Cut, each side learns of the other's loss; healed, both know each other again within seconds. At no time do all
/// use more than there is.
#[test_case(12, 5, 10.0; "5 to 7")]
#[test_case(12, 6, 10.0; "in the middle")]
#[test_case(12, 1, 20.0; "one alone")]
#[test_case(24, 10, 10.0; "10 to 14")]
fn a_cut_is_borne_and_heals(size: usize, apart: usize, lasts: f64) {
    for seed in 1..=3 {
        let mut net = settled(size, seed);
        let from = net.now;
        let until = from + lasts;
        net.rule = Box::new(move |now, a, b, chance| {
            let cut = (a < apart) != (b < apart) && (from..until).contains(&now);
            if cut { vec![] } else { vec![chance.random_range(0.0005..0.002)] }
        });
        net.play(until);
        let hears = |n: usize| net.nodes[n].peers.as_ref().unwrap().hears();
        let small = if apart == 1 { Hears::Nothing } else { Hears::Some };
        assert_eq!(hears(0), small);
        assert_eq!(hears(size - 1), if 2 * apart < size { Hears::Majority } else { Hears::Some });
        net.play(until + 5.0);
        assert!(net.agree(), "seed {seed}: healed within 5 s");
        net.play(until + 12.0);
        assert!((all_use(&net) - 1.0).abs() < 1e-9);
    }
}

/// A gateway that hears nothing while all hear it takes its floor, and spreads no rumours about the others, but for the
/// one whose answer was the first that it missed.
#[test]
fn one_that_is_deaf_accuses_nobody() {
    let mut net = settled(12, 4);
    let from = net.now;
    net.rule =
        Box::new(
            move |now, _, b, chance| {
                if b == 0 && now < from + 10.0 { vec![] } else { vec![chance.random_range(0.0005..0.002)] }
            },
        );
    net.play(from + 10.0);
    let deaf = net.nodes[0].peers.as_ref().unwrap();
    assert_eq!(deaf.hears(), Hears::Nothing);
    assert_eq!(deaf.likely(), 12.0);
    let parts = net.nodes[0].parts.unwrap();
    assert_eq!(parts.part, parts.floor);
    let accused = |other: &usize| {
        let name = format!("gateway-{other}");
        let told = |e: &Event| matches!(e, Event::Suspected { name: n } if *n == name);
        net.times(from, told).into_keys().any(|n| n != 0)
    };
    assert!((1..12).filter(accused).count() <= 1);
    net.play(from + 20.0);
    assert!(net.agree() && (all_use(&net) - 1.0).abs() < 1e-9);
}

/// Stopped for five seconds it counts as gone; when it wakes, it knows that it was itself that stood, and all is well.
#[test]
fn one_that_stood_still_distrusts_its_own_clock() {
    let mut net = settled(12, 5);
    let from = net.now;
    net.stall(3, 5.0);
    net.play(from + 5.0);
    let since = net.now;
    net.play(from + 12.0);
    assert!(net.agree());
    let suspects =
        net.nodes[3].events.iter().filter(|(at, e)| *at >= since && matches!(e, Event::Suspected { .. }));
    assert_eq!(suspects.count(), 0);
    assert!((all_use(&net) - 1.0).abs() < 1e-9);
}

/// A process killed and begun anew at once is another: told apart, and not buried with its former self.
#[test]
fn a_process_outlives_the_death_of_its_former_self() {
    let mut net = settled(12, 6);
    let (from, former) = (net.now, net.life(7));
    net.kill(7);
    net.begin(7);
    net.play(from + 1.0);
    let new = (0..12).filter(|n| *n != 7 && net.sees(*n, 7) == Some(State::Alive)).count();
    assert_eq!(new, 11);
    net.play(from + 10.0);
    assert!(net.agree());
    for n in (0..12).filter(|n| *n != 7) {
        assert!(!net.nodes[n].peers.as_ref().unwrap().state(former).is_some_and(State::there));
    }
    net.play(from + 20.0);
    assert!((all_use(&net) - 1.0).abs() < 1e-9);
}

#[test]
fn who_says_that_it_goes_is_not_suspected() {
    let mut net = settled(12, 7);
    let from = net.now;
    net.leave(2);
    net.play(from + 2.0);
    assert!(net.agree());
    let suspected = |e: &Event| matches!(e, Event::Suspected { .. });
    assert!(net.times(from, suspected).is_empty());
}

/// Two by mistake under one name: all say so, neither is driven out, and neither has a say in who has standing.
#[test]
fn two_under_one_name_are_told_of() {
    let mut net = Net::new(12, 2, sharp(), 8);
    net.watch = true;
    (0..11).for_each(|n| net.begin(n));
    net.begin_as(11, "gateway-4", 12);
    net.play(15.0);
    for n in 0..12 {
        let told = net.nodes[n]
            .events
            .iter()
            .any(|(_, e)| matches!(e, Event::Twice { name } if name == "gateway-4"));
        assert!(told, "gateway {n} says that a name is used twice");
        for other in [4, 11].into_iter().filter(|other| *other != n) {
            assert_eq!(net.sees(n, other), Some(State::Alive));
        }
    }
    all_use(&net);
}

/// The count in half of the charters is half, or twice, of what it should be.
#[test_case(6; "too low")]
#[test_case(24; "too high")]
fn a_wrong_count_is_told_of_and_does_no_harm(wrong: u32) {
    let mut net = Net::new(12, 2, sharp(), 9);
    (0..12).for_each(|n| net.begin_as(n, &format!("gateway-{n}"), if n < 6 { wrong } else { 12 }));
    net.play(15.0);
    let most = f64::from(wrong.max(12));
    let own = |n: usize| if n < 6 { f64::from(wrong) } else { 12.0 };
    let used: f64 = (0..12).map(|n| net.nodes[n].parts.unwrap().part / own(n)).sum();
    assert!(used <= 1.0 + 1e-9 && used >= 12.0 / most * net.terms.floor, "{used}");
    let told = |e: &Event| matches!(e, Event::OtherMost { .. });
    assert_eq!(net.times(0.0, told).len(), 12);
}

/// All but one are killed: the last one knows that it hears nothing, and goes by what it would do alone.
#[test]
fn the_last_one_goes_by_what_it_would_do_alone() {
    let mut net = settled(12, 10);
    (1..12).for_each(|n| net.kill(n));
    net.play(net.now + 30.0);
    let last = net.nodes[0].peers.as_ref().unwrap();
    assert_eq!((last.hears(), last.likely()), (Hears::Nothing, 12.0));
    assert!((1..12).all(|n| net.sees(0, n) == Some(State::Dead)));
    (1..12).for_each(|n| net.begin(n));
    net.play(net.now + 10.0);
    assert!(net.agree());
}

#[test]
fn a_seed_that_is_dead_at_start_is_done_without() {
    let mut net = Net::new(12, 2, sharp(), 11);
    (1..12).for_each(|n| net.begin(n));
    net.play(5.0);
    assert!(net.agree());
    net.begin(0);
    net.play(10.0);
    assert!(net.agree());
}

/// A clock that is set back by an hour, and one that is set ahead: time goes on as it would have.
#[test]
fn a_clock_set_back_stops_nothing() {
    use milletpath_membership::Peers;
    use milletpath_membership::letter::Who;
    let who =
        Who { life: 1, name: "a".into(), at: "10.0.0.1:7000".parse().unwrap(), incarnation: 0, most: 3 };
    let mut peers = Peers::new(who, Terms::default(), vec!["10.0.0.2:7000".parse().unwrap()], 1, 10_000.0);
    let mut sent = |from: f64| {
        let mut now = from;
        while now < from + 2.0 {
            peers.turn(now);
            now = peers.next().max(now + 1e-3);
            assert!(now < from + 3.0, "it goes on at {now}");
        }
        std::iter::from_fn(|| peers.out()).count()
    };
    let before = sent(10_000.0);
    let after = sent(6_400.0);
    assert!(before > 5 && after > 5, "{before} {after}");
}

#[test_case(0.05, 0; "a twentieth")]
#[test_case(0.2, 0; "a fifth")]
#[test_case(0.3, 1; "three tenths")]
fn lost_letters_kill_nobody(part: f64, most: usize) {
    for seed in 1..=3 {
        let mut net = settled(12, seed);
        net.rule = lossy(part);
        let from = net.now;
        net.play(from + 60.0);
        let died =
            |node: &net::Node| node.events.iter().filter(|(_, e)| matches!(e, Event::Died { .. })).count();
        let deaths: usize = net.nodes.iter().map(died).sum();
        assert!(deaths <= most * 12, "seed {seed}: {deaths} false deaths in a minute");
        all_use(&net);
    }
}

/// Letters of seconds of delay, overtaking each other: the first answers that late come as a surprise, then the
/// suspicions wait for them.
#[test]
fn late_letters_are_waited_for() {
    let mut net = settled(12, 12);
    let from = net.now;
    net.rule = Box::new(|_, _, _, chance| vec![chance.random_range(0.2..1.5)]);
    net.play(from + 40.0);
    let late = |node: &net::Node| {
        node.events.iter().filter(|(at, e)| *at > from + 15.0 && matches!(e, Event::Died { .. })).count()
    };
    assert_eq!(net.nodes.iter().map(late).sum::<usize>(), 0);
    net.rule = calm();
    net.play(from + 60.0);
    assert!(net.agree() && (all_use(&net) - 1.0).abs() < 1e-9);
}

/// Whatever happens, all together never use more than there is: random troubles, by seeds.
#[test]
fn no_trouble_makes_the_parts_more_than_the_whole() {
    for seed in 1..=40 {
        let size = [3, 4, 5, 7, 12][seed as usize % 5];
        // Shorter than it takes to bury one, and longer.
        let lease = [1.5, 8.0][seed as usize % 2];
        let mut net = Net::new(size, 1, Terms { lease, ..sharp() }, seed);
        net.watch = true;
        net.begin_all();
        while net.now < 60.0 {
            let n = net.chance.random_range(0..size);
            match net.chance.random_range(0..8) {
                0 => net.kill(n),
                1 | 2 => {
                    if net.nodes[n].peers.is_none() {
                        net.begin(n);
                    } else {
                        net.kill(n);
                        net.begin(n);
                    }
                }
                3 => {
                    let seconds = net.chance.random_range(0.1..6.0);
                    net.stall(n, seconds);
                }
                4 => net.rule = calm(),
                5 => {
                    let part = net.chance.random_range(0.0..0.6);
                    net.rule = Box::new(move |_, _, _, chance| {
                        let times =
                            usize::from(!chance.random_bool(part)) + usize::from(chance.random_bool(0.2));
                        (0..times).map(|_| chance.random_range(0.0005f64..0.03).powi(1)).collect()
                    });
                }
                6 => {
                    let late = net.chance.random_range(0.01..2.0);
                    net.rule = Box::new(move |_, _, _, chance| vec![chance.random_range(0.0..late)]);
                }
                _ => {
                    let links: Vec<bool> = (0..size * size).map(|_| net.chance.random_bool(0.6)).collect();
                    net.rule = Box::new(move |_, a, b, chance| {
                        if links[a * size + b] { vec![chance.random_range(0.0005..0.002)] } else { vec![] }
                    });
                }
            }
            let on = net.chance.random_range(0.1..3.0);
            net.play(net.now + on);
        }
        all_use(&net);
        (0..size)
            .filter(|n| net.nodes[*n].peers.is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| net.begin(n));
        net.rule = calm();
        net.play(net.now + 40.0);
        assert!(net.agree(), "seed {seed}: all is well again in the end");
        assert!((all_use(&net) - 1.0).abs() < 1e-9);
    }
}
