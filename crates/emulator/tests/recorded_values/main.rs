//! Values that were recorded once, from seeds: models and readers give the same ones ever since.

mod digest;
mod scenarios;
mod worker_model;
