//! The cases: each plays its scenario, judges it, and returns whether the rule was broken.

pub mod address_taken;
pub mod answer_after_release;
pub mod crowd_memory;
