//! Checks the rules that a director has to keep, from what viewers and media nodes recorded on their sockets.
//! Nothing that a director reports is used, and no code is shared with it, so that a fault in the director
//! can't hide here too.

mod fleet_rules;
mod record;
mod rules;

pub use record::{Care, Group, Node, Plan, Reach, Repeats, Shared, Sight, Traffic, Trouble, What};
pub use rules::{Broken, Finding, Verdict, judge};

#[cfg(test)]
mod tests;
