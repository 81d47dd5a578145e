//! What users hold of a scale test stays as it is: the JSON object and the printed table of reports that are built from
//! fixed findings, and the figures to which the plans of the repository are read. The files in `tests/fixtures` were
//! written by these tests on commit d9936fb; `UPDATE_FIXTURES=1` writes them anew, which is right only where the output is
//! meant to change.

mod fixture;
mod plans;
mod reports;
