//! Guards the user-visible output of a scale test against changes: the JSON and the table of reports built from fixed
//! findings, and the values parsed from the plans in the repository. The files in `tests/fixtures` were written by
//! these tests on commit d9936fb. `UPDATE_FIXTURES=1` rewrites them, which is right only if the output is meant to
//! change.

mod fixture;
mod plans;
mod reports;
