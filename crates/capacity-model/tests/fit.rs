//! Fitting recovers the form that generated noisy values; invalid runs are rejected.

use milletpath_capacity_model::fit::{Form, fit};
use milletpath_capacity_model::run::{self, Measurement, Run};
use oorandom::Rand64;
use std::collections::BTreeMap;
use test_case::test_case;

fn run(has_second_axis: bool, measurements: Vec<Measurement>) -> Run {
    Run {
        name: "synthetic".into(),
        mechanism: "none".into(),
        quantity: "synthetic".into(),
        unit: "ms".into(),
        axis: "n".into(),
        second_axis: has_second_axis.then(|| "m".into()),
        fixed: BTreeMap::new(),
        method: "synthetic".into(),
        command: "none".into(),
        seed: 1,
        date: "2026-12-02".into(),
        cores: 1,
        measurements,
    }
}

fn measurement(size: f64, second_size: Option<f64>, value: f64) -> Measurement {
    Measurement { size, second_size, median: value, min: value, max: value, repeats: 1 }
}

/// A random factor that deviates from 1 by up to `amplitude` in either direction.
fn noise(rng: &mut Rand64, amplitude: f64) -> f64 {
    1.0 + amplitude * (2.0 * rng.rand_float() - 1.0)
}

#[test_case(Form::Constant, |_| 3.0; "flat")]
#[test_case(Form::Logarithmic, |n| 1.0 + 2.0 * n.ln_1p(); "log n")]
#[test_case(Form::Linear, |n| 0.2 + 0.01 * n; "n")]
#[test_case(Form::Quadratic, |n| 0.1 + 3e-6 * n * n; "n square")]
#[test_case(Form::Cubic, |n| 0.1 + 1e-8 * n * n * n; "n cube")]
fn a_form_is_recovered_under_noise(form: Form, value: fn(f64) -> f64) {
    let mut rng = Rand64::new(7);
    for _ in 0..200 {
        let sizes = [50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0];
        let measurements = sizes.map(|n| measurement(n, None, value(n) * noise(&mut rng, 0.01)));
        let fitted = fit(&run(false, measurements.to_vec()));
        assert_eq!(fitted.form, form, "{fitted}");
        let beyond = 3_200.0;
        let error = (fitted.value_at(beyond, 0.0) / value(beyond) - 1.0).abs();
        assert!(error < 0.05, "{fitted} is off by {error:.3} at {beyond}");
        assert!(fitted.residual < 0.02, "{fitted}");
    }
}

/// In the measured range n log n differs little from n and n², which must not be selected instead: they extrapolate to
/// other values.
#[test]
fn n_log_n_is_distinguished_from_its_neighbours() {
    let mut rng = Rand64::new(7);
    for _ in 0..200 {
        let sizes = [50.0, 100.0, 300.0, 1_000.0, 3_000.0, 10_000.0];
        let value = |n: f64| 1e-4 * n * n.ln_1p();
        let fitted =
            fit(&run(false, sizes.map(|n| measurement(n, None, value(n) * noise(&mut rng, 0.01))).to_vec()));
        assert_eq!(fitted.form, Form::Linearithmic, "{fitted}");
        assert!((fitted.value_at(30_000.0, 0.0) / value(30_000.0) - 1.0).abs() < 0.05, "{fitted}");
    }
}

/// A single-term form does not fit the sum of two powers and would extrapolate to far too little.
#[test_case(Form::LinearPlusQuadratic, |n| 0.01 * n + 1e-4 * n * n; "n and its square")]
#[test_case(Form::LinearPlusCubic, |n| 0.01 * n + 1e-6 * n * n * n; "n and its cube")]
fn two_term_forms_are_recovered_under_noise(form: Form, value: fn(f64) -> f64) {
    let mut rng = Rand64::new(5);
    for _ in 0..100 {
        let sizes = [10.0, 25.0, 60.0, 150.0, 300.0, 600.0];
        let fitted =
            fit(&run(false, sizes.map(|n| measurement(n, None, value(n) * noise(&mut rng, 0.01))).to_vec()));
        assert_eq!(fitted.form, form, "{fitted}");
        assert!((fitted.value_at(1_200.0, 0.0) / value(1_200.0) - 1.0).abs() < 0.1, "{fitted}");
    }
}

#[test_case(Form::Product, |n, m| 1.0 + 0.002 * n * m; "n times m")]
#[test_case(Form::Linear, |n, _| 1.0 + 0.2 * n; "n alone")]
#[test_case(Form::SecondAxis, |_, m| 1.0 + 0.2 * m; "m alone")]
#[test_case(Form::Constant, |_, _| 4.0; "neither")]
fn the_relevant_axes_are_recovered_under_noise(form: Form, value: fn(f64, f64) -> f64) {
    let mut rng = Rand64::new(3);
    for _ in 0..100 {
        let mut measurements = Vec::new();
        for n in [10.0, 100.0, 1_000.0] {
            for m in [30.0, 300.0, 3_000.0] {
                measurements.push(measurement(n, Some(m), value(n, m) * noise(&mut rng, 0.01)));
            }
        }
        let fitted = fit(&run(true, measurements));
        assert_eq!(fitted.form, form, "{fitted}");
    }
}

/// Neither the constant nor the slope of a fit is negative, so that no extrapolation falls below zero.
#[test]
fn a_decreasing_quantity_is_fitted_by_a_constant() {
    let fitted =
        fit(&run(false, [1.0, 10.0, 100.0, 1_000.0].map(|n| measurement(n, None, 5.0 - n.log10())).to_vec()));
    assert_eq!(fitted.form, Form::Constant);
    assert!(fitted.residual > 0.3, "the residual must show that the form does not fit: {fitted}");
}

/// The error message from reading a run file with the given content.
fn read_error(text: &str) -> String {
    let path =
        std::env::temp_dir().join(format!("milletpath-run-{}-{}.json", std::process::id(), text.len()));
    std::fs::write(&path, text).unwrap();
    let error = run::read(&path).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    error.to_string()
}

#[test]
fn an_invalid_run_is_rejected_with_the_reason() {
    let valid = run(false, [1.0, 2.0, 3.0, 4.0].map(|n| measurement(n, None, n)).to_vec());
    let text = |run: &Run| serde_json::to_string(run).unwrap();
    let too_few = Run { measurements: valid.measurements[..2].to_vec(), ..valid.clone() };
    assert!(read_error(&text(&too_few)).contains("has 2 sizes; measure 4 or more"));
    let mut zero_size = valid.clone();
    zero_size.measurements[2].size = 0.0;
    assert!(read_error(&text(&zero_size)).contains("sizes[2]"));
    let mut one_second_size = valid.clone();
    one_second_size.measurements[1].second_size = Some(2.0);
    assert!(read_error(&text(&one_second_size)).contains("second axis"));
    assert!(read_error("{").contains("line 1 column"));
    assert!(read_error(&text(&valid).replace("\"axis\"", "\"axes\"")).contains("axes"));
}
