//! Tests of `milletpath platform` with large fleets and many clients. They are a program of their own, as they would
//! delay the tests of `platform`, which depend on times, if they ran beside them.

mod fleet_release;
mod large_responses;
