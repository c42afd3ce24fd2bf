//! Checks the rules that a director has to keep, from what viewers and media nodes recorded on their sockets.
//! Nothing that a director reports is used, and no code is shared with it, so that a fault in the director
//! can't hide here too.

mod fleet_rules;
mod record;
mod rules;

pub use record::{
    EventKind, FleetLimits, MediaNode, RecordError, RetryLimit, RetrySafety, RetryScope, RulesConfig,
    ServiceGroup, TrafficEvent, TrafficRecord,
};
pub use rules::{Finding, RulesReport, Violation, check_rules};

#[cfg(test)]
mod tests;
