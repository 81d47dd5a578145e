//! Forms are found again in figures that were made by them, with noise; and lines are never drawn through
//! too few.

use milletpath_capacity_model::fit::{Form, fit};
use milletpath_capacity_model::run::{self, Run, Size};
use oorandom::Rand64;
use std::collections::BTreeMap;
use test_case::test_case;

fn run(second: bool, sizes: Vec<Size>) -> Run {
    Run {
        name: "made".into(),
        mechanism: "none".into(),
        figure: "made".into(),
        unit: "ms".into(),
        axis: "n".into(),
        second_axis: second.then(|| "m".into()),
        fixed: BTreeMap::new(),
        method: "made".into(),
        command: "none".into(),
        seed: 1,
        date: "2026-12-02".into(),
        cores: 1,
        sizes,
    }
}

fn size(at: f64, and: Option<f64>, value: f64) -> Size {
    Size { at, and, value, low: value, high: value, repeats: 1 }
}

/// One way or the other by up to so much.
fn noise(chance: &mut Rand64, most: f64) -> f64 {
    1.0 + most * (2.0 * chance.rand_float() - 1.0)
}

#[test_case(Form::Flat, |_| 3.0; "flat")]
#[test_case(Form::Log, |n| 1.0 + 2.0 * n.ln_1p(); "log n")]
#[test_case(Form::Linear, |n| 0.2 + 0.01 * n; "n")]
#[test_case(Form::Square, |n| 0.1 + 3e-6 * n * n; "n square")]
#[test_case(Form::Cube, |n| 0.1 + 1e-8 * n * n * n; "n cube")]
fn a_form_is_found_again_under_noise(form: Form, figure: fn(f64) -> f64) {
    let mut chance = Rand64::new(7);
    for _ in 0..200 {
        let sizes = [50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0];
        let made = sizes.map(|n| size(n, None, figure(n) * noise(&mut chance, 0.01)));
        let found = fit(&run(false, made.to_vec()));
        assert_eq!(found.form, form, "{found}");
        let beyond = 3_200.0;
        let wrong = (found.at(beyond, 0.0) / figure(beyond) - 1.0).abs();
        assert!(wrong < 0.05, "{found} is off by {wrong:.3} at {beyond}");
        assert!(found.residual < 0.02, "{found}");
    }
}

/// Between n and n log n there is little to see: either may be taken, but what comes of it is right.
#[test]
fn what_grows_as_n_log_n_is_foretold_whichever_of_its_neighbours_is_taken() {
    let mut chance = Rand64::new(7);
    for _ in 0..200 {
        let sizes = [50.0, 100.0, 300.0, 1_000.0, 3_000.0, 10_000.0];
        let figure = |n: f64| 1e-4 * n * n.ln_1p();
        let found =
            fit(&run(false, sizes.map(|n| size(n, None, figure(n) * noise(&mut chance, 0.01))).to_vec()));
        assert_eq!(found.form, Form::LinearLog, "{found}");
        assert!((found.at(30_000.0, 0.0) / figure(30_000.0) - 1.0).abs() < 0.05, "{found}");
    }
}

/// A part that overtakes another: no single power fits, and a single one would foretell far too little.
#[test_case(Form::LinearAndSquare, |n| 0.01 * n + 1e-4 * n * n; "n and its square")]
#[test_case(Form::LinearAndCube, |n| 0.01 * n + 1e-6 * n * n * n; "n and its cube")]
fn what_overtakes_another_part_is_found_beside_it(form: Form, figure: fn(f64) -> f64) {
    let mut chance = Rand64::new(5);
    for _ in 0..100 {
        let sizes = [10.0, 25.0, 60.0, 150.0, 300.0, 600.0];
        let found =
            fit(&run(false, sizes.map(|n| size(n, None, figure(n) * noise(&mut chance, 0.01))).to_vec()));
        assert_eq!(found.form, form, "{found}");
        assert!((found.at(1_200.0, 0.0) / figure(1_200.0) - 1.0).abs() < 0.1, "{found}");
    }
}

#[test_case(Form::Product, |n, m| 1.0 + 0.002 * n * m; "n times m")]
#[test_case(Form::Linear, |n, _| 1.0 + 0.2 * n; "n alone")]
#[test_case(Form::Second, |_, m| 1.0 + 0.2 * m; "m alone")]
#[test_case(Form::Flat, |_, _| 4.0; "neither")]
fn of_two_axes_the_right_ones_are_found(form: Form, figure: fn(f64, f64) -> f64) {
    let mut chance = Rand64::new(3);
    for _ in 0..100 {
        let mut sizes = Vec::new();
        for n in [10.0, 100.0, 1_000.0] {
            for m in [30.0, 300.0, 3_000.0] {
                sizes.push(size(n, Some(m), figure(n, m) * noise(&mut chance, 0.01)));
            }
        }
        let found = fit(&run(true, sizes));
        assert_eq!(found.form, form, "{found}");
    }
}

/// Neither a constant nor a slope falls below zero, so nothing is foretold to be less than nothing.
#[test]
fn what_shrinks_counts_as_flat() {
    let found =
        fit(&run(false, [1.0, 10.0, 100.0, 1_000.0].map(|n| size(n, None, 5.0 - n.log10())).to_vec()));
    assert_eq!(found.form, Form::Flat);
    assert!(found.residual > 0.3, "and its residual says that it does not fit: {found}");
}

fn file(text: &str) -> String {
    let path =
        std::env::temp_dir().join(format!("milletpath-run-{}-{}.json", std::process::id(), text.len()));
    std::fs::write(&path, text).unwrap();
    let wrong = run::read(&path).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    wrong
}

#[test]
fn a_run_that_says_too_little_is_refused_with_a_remedy() {
    let good = run(false, [1.0, 2.0, 3.0, 4.0].map(|n| size(n, None, n)).to_vec());
    let text = |run: &Run| serde_json::to_string(run).unwrap();
    let few = Run { sizes: good.sizes[..2].to_vec(), ..good.clone() };
    assert!(file(&text(&few)).contains("has 2 sizes; measure 4 or more"));
    let mut none = good.clone();
    none.sizes[2].at = 0.0;
    assert!(file(&text(&none)).contains("sizes[2]"));
    let mut half = good.clone();
    half.sizes[1].and = Some(2.0);
    assert!(file(&text(&half)).contains("second axis"));
    assert!(file("{").contains("line 1 column"));
    assert!(file(&text(&good).replace("\"axis\"", "\"axes\"")).contains("axes"));
}
