//! Looks up settings by JSON pointer (RFC 6901) and validates their range.

use crate::error::SettingsError;
use serde::Deserialize;
use serde_json::Value;

/// Microseconds in a second: the platform's times are in microseconds.
const MICROSECONDS: f64 = 1e6;

/// Returns the value at `path`, or `None` if it is absent or has another type.
pub fn value_at<'v, T: Deserialize<'v>>(settings: &'v Value, path: &str) -> Option<T> {
    settings.pointer(path).and_then(|value| T::deserialize(value).ok())
}

/// Returns a required number of at least zero.
pub fn non_negative(settings: &Value, path: &str) -> Result<f64, SettingsError> {
    number(settings, path, |x| x >= 0.0)
}

/// Returns a required number greater than zero.
pub fn positive(settings: &Value, path: &str) -> Result<f64, SettingsError> {
    number(settings, path, |x| x > 0.0)
}

/// Returns a required time in seconds.
pub fn seconds(settings: &Value, path: &str) -> Result<f64, SettingsError> {
    non_negative(settings, path).map(|time| time / MICROSECONDS)
}

/// Returns an optional time in seconds, or `None` if it is absent or not greater than zero.
pub fn optional_seconds(settings: &Value, path: &str) -> Option<f64> {
    let time = value_at::<f64>(settings, path).filter(|time| time.is_finite() && *time > 0.0);
    time.map(|time| time / MICROSECONDS)
}

fn number(settings: &Value, path: &str, is_valid: impl Fn(f64) -> bool) -> Result<f64, SettingsError> {
    let number = value_at::<f64>(settings, path).filter(|x| x.is_finite() && is_valid(*x));
    number.ok_or_else(|| SettingsError::invalid(path[1..].replace('/', ".")))
}
