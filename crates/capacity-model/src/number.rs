//! Formatting of numbers on the page.

const SIGNIFICANT_DIGITS: i32 = 3;

/// Digits between two thousands separators.
const DIGITS_PER_GROUP: usize = 3;

/// Formats a number with three significant digits and thousands separators; `-` if it is not finite.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return "-".into();
    }
    if value == 0.0 {
        return "0".into();
    }
    if value < 0.0 {
        return format!("-{}", number(-value));
    }
    let magnitude = value.log10().floor() as i32;
    let decimals = (SIGNIFICANT_DIGITS - 1 - magnitude).max(0) as usize;
    let text = format!("{value:.decimals$}");
    let (integer, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let integer = group_thousands(integer);
    let fraction = fraction.trim_end_matches('0');
    if fraction.is_empty() { integer } else { format!("{integer}.{fraction}") }
}

fn group_thousands(digits: &str) -> String {
    let mut grouped = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(DIGITS_PER_GROUP) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    grouped
}
