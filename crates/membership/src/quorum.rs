//! Quorum proofs: a proven upper bound on the number of gateways that may use more than the floor of the shared
//! budgets. `endorsement.rs` defines and applies the endorsement rule, `assertions.rs` selects the assertions to send,
//! and `proof.rs` derives the bound from the assertions of other members.

mod assertions;
mod duplicate_names;
mod endorsement;
mod proof;
mod set_difference;
