//! Discrete-event emulator: plays a day in simulated time with the real engines and admission controllers.
//! Only the parts between the engine and the sockets (network, nodes, viewers) are modelled. Runs are
//! deterministic: one seed gives one report, byte for byte.

mod director;
mod environment;
mod nodes;
mod peers;
mod report;
mod viewers;
mod world;

pub use report::{GroupReport, Report, Sample};
pub use world::run;
