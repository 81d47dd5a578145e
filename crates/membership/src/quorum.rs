//! Quorum proofs: an upper bound, proven and not merely believed, on the gateways that may use more than the floor of the
//! shared budgets. `endorsement.rs` states the rules, `assertions.rs` sends what follows from them, and `proof.rs` draws
//! the conclusion from what others assert.

mod assertions;
mod duplicate_names;
mod endorsement;
mod proof;
mod set_difference;
