//! The cases: each plays its scenario, judges it, and returns whether the rule was broken.

pub mod answer_after_release;
pub mod crowd_memory;
pub mod release_untold;
