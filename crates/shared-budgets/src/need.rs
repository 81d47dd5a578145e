//! What a gateway needs of a budget, from what was wanted of it lately: quick to rise, slower to fall.

use crate::account::Form;
use crate::shares::Meter;

#[derive(Clone, Debug)]
pub struct Need {
    form: Form,
    at: f64,
    last: Meter,
    /// Wanted a second, smoothed; and what was lacked of late, fading.
    rate: f64,
    lacked: f64,
}

/// Half lives of a rate that rises and of one that falls: a jump is known within half a second; and one that fell to a
/// tenth is known within two, which leaves a loan's time for all to follow within five.
const RISE: f64 = 0.25;
const FALL: f64 = 0.5;

/// Units lacked count for so long.
const LACK: f64 = 1.0;

impl Need {
    pub fn new(form: Form, now: f64) -> Self {
        Self { form, at: now, last: Meter::default(), rate: 0.0, lacked: 0.0 }
    }

    /// The meters now; tells whether something was lacked since the last look.
    pub fn see(&mut self, now: f64, meter: Meter) -> bool {
        /// Seconds between two looks at least, so that a rate is one.
        const LOOK: f64 = 0.05;
        let (wanted, lacked) = (
            meter.wanted.saturating_sub(self.last.wanted) as f64,
            meter.lacked.saturating_sub(self.last.lacked) as f64,
        );
        let passed = now - self.at;
        if passed < LOOK {
            self.last.used = meter.used;
            return false;
        }
        let rate = wanted / passed;
        let half = if rate > self.rate { RISE } else { FALL };
        self.rate += (rate - self.rate) * (1.0 - (-passed / half).exp2());
        self.lacked = self.lacked * (-passed / LACK).exp2() + lacked;
        (self.at, self.last) = (now, meter);
        lacked > 0.0
    }

    /// So much a second; or so many units at a time.
    pub fn figure(&self) -> f64 {
        match self.form {
            Form::Rate => self.rate,
            // What is in use, what was lacked, and what may be wanted before an answer comes.
            Form::Window(_) | Form::Hand(_) => {
                self.last.used + self.lacked + if self.lacked > 0.5 { 1.0 } else { 0.0 }
            }
        }
    }
}
