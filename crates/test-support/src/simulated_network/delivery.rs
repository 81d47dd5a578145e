//! Rules for the delivery of datagrams in the simulated network.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Delays of an undisturbed local network, in seconds.
const USUAL_DELAY: Range<f64> = 0.0005..0.002;

/// One datagram on its way.
#[derive(Clone, Copy, Debug)]
pub struct Transmission {
    /// When it is sent, in seconds of simulated time.
    pub sent_at: f64,
    /// Index of the sending node.
    pub from: usize,
    /// Index of the receiving node.
    pub to: usize,
}

/// Decides about one datagram: the delays, in seconds, after which a copy arrives; none where it is lost.
pub type DeliveryRule = Box<dyn FnMut(Transmission, &mut ChaCha8Rng) -> Vec<f64>>;

/// A single arrival after a usual delay.
pub fn arrives(rng: &mut ChaCha8Rng) -> Vec<f64> {
    vec![rng.random_range(USUAL_DELAY)]
}

/// Every datagram arrives once, after a usual delay.
pub fn reliable() -> DeliveryRule {
    Box::new(|_, rng| arrives(rng))
}

/// Datagrams are lost with this probability.
pub fn lossy(probability: f64) -> DeliveryRule {
    Box::new(move |_, rng| if rng.random_bool(probability) { vec![] } else { arrives(rng) })
}

/// Datagrams are lost where `cuts` is true.
pub fn cut_where(cuts: impl Fn(Transmission) -> bool + 'static) -> DeliveryRule {
    Box::new(move |transmission, rng| if cuts(transmission) { vec![] } else { arrives(rng) })
}

/// Every datagram arrives once, after a delay from this range, in seconds.
pub fn delayed(delay: Range<f64>) -> DeliveryRule {
    Box::new(move |_, rng| vec![rng.random_range(delay.clone())])
}
