//! Guards against changes in what a seed or a file means: models and readers must give the values that were recorded
//! once.

mod digest;
mod scenarios;
mod worker_model;
