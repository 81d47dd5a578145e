//! Rules that decide how the simulated network delivers datagrams.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Delays of an undisturbed local network in seconds.
const LOCAL_NETWORK_DELAY: Range<f64> = 0.0005..0.002;

/// One datagram in transit.
#[derive(Clone, Copy, Debug)]
pub struct Transmission {
    /// Simulated time at which it is sent, in seconds.
    pub sent_at: f64,
    /// Index of the sending node.
    pub from: usize,
    /// Index of the receiving node.
    pub to: usize,
}

/// Returns the delays in seconds after which copies of a datagram arrive. An empty list loses the datagram, and several
/// delays duplicate it.
pub type DeliveryRule = Box<dyn FnMut(Transmission, &mut ChaCha8Rng) -> Vec<f64>>;

/// Returns the delay of a single copy on an undisturbed local network.
pub fn arrives_once(rng: &mut ChaCha8Rng) -> Vec<f64> {
    vec![rng.random_range(LOCAL_NETWORK_DELAY)]
}

/// Delivers every datagram once after the delay of a local network.
pub fn reliable() -> DeliveryRule {
    Box::new(|_, rng| arrives_once(rng))
}

/// Loses datagrams with the given probability and delivers the others like [`reliable`].
pub fn lossy(probability: f64) -> DeliveryRule {
    Box::new(move |_, rng| if rng.random_bool(probability) { vec![] } else { arrives_once(rng) })
}

/// Loses the datagrams for which `is_cut` returns true and delivers the others like [`reliable`].
pub fn cut_where(is_cut: impl Fn(Transmission) -> bool + 'static) -> DeliveryRule {
    Box::new(move |transmission, rng| if is_cut(transmission) { vec![] } else { arrives_once(rng) })
}

/// Delivers every datagram once after a random delay from the given range in seconds.
pub fn delayed(delay: Range<f64>) -> DeliveryRule {
    Box::new(move |_, rng| vec![rng.random_range(delay.clone())])
}
