//! The six rules, judged from what viewers and media nodes saw on their sockets. Nothing a director says counts,
//! and no code is shared with it: what is judged here can't be wrong in the same way.

mod rules;
mod shared;
mod sights;

pub use rules::{Broken, Finding, Verdict, judge};
pub use sights::{Care, Group, Node, Plan, Reach, Repeats, Shared, Sight, Traffic, Trouble, What};

#[cfg(test)]
mod tests;
