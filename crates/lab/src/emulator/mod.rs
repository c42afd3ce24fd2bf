//! A day in simulated time: real engines with their doors, nodes and viewers as events. Nothing of the decision or of
//! the engine is modelled; only what lies between them and the sockets is. One seed gives one report, byte for byte.

mod crowd;
mod nodes;
mod report;
mod shells;
mod talk;
mod troubles;
mod world;

pub use report::{Group, Report, Sample};
pub use world::run;
