//! The milletpath program.

fn main() {}
