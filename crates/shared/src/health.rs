//! Health reports on media nodes.
//!
//! A director issues a versioned [`HealthReport`] on each node at which its own SETUPs failed. A store keeps
//! the newest report of each source and node ([`HealthStore::merge`]). The merge is a join (commutative,
//! associative and idempotent), so reordering, duplication and loss of messages don't matter
//! (`tests/health_merge.rs`). A report carries its age. The receiver converts the age to its own clock, and
//! keeps the earliest time that any copy of the report implies.
//!
//! A director that has seen no failure itself suspects a node only on reports from independent sources
//! ([`HealthStore::suspected_nodes`]): several directors, from its own zone or from two others, that
//! outnumber those that report the node healthy. The influence of one source is limited. It counts once,
//! however many failures it saw, and not at all if it reports failures alone at three or more nodes, and at
//! more nodes alone than together with others: then it is considered faulty itself (as in Lifeguard:
//! Dadgar and others, 2018).

use std::collections::{BTreeMap, BTreeSet};

use ashglade::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use crate::uniform_hash;

/// Health of a media node, as seen by one director.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodeHealth {
    /// The node answers SETUPs.
    Well,
    /// SETUPs get an error, or the connection breaks.
    Failing,
    /// SETUPs get no answer.
    Silent,
}

/// One director's report on the health of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HealthReport {
    /// Index of the reporting director.
    pub source: u16,
    /// Id of the media node.
    pub node: u64,
    /// Version of the report, increasing over all reports of its source and across restarts.
    pub version: u64,
    pub health: NodeHealth,
    /// Number of the source's own SETUPs on which the report is based.
    pub setups: u16,
    /// Time since the last of these SETUPs ended, in milliseconds.
    pub age_ms: u32,
}

/// A report as stored, without its key.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StoredReport {
    version: u64,
    health: NodeHealth,
    setups: u16,
    /// Time when the last SETUP of the report ended, on this director's clock.
    observed_at: Instant,
}

/// Maximum number of nodes in the store, and of nodes with counted failures. In the store a further node
/// replaces the one whose newest report is oldest.
const MAX_NODES: usize = 4096;
/// Number of sources required to suspect a node, or half of the directors, rounded up, where that is fewer.
const MIN_SOURCES: usize = 3;
/// Maximum age of an accepted report, in milliseconds; an older one is of no use.
const MAX_REPORT_AGE_MS: u32 = 3_600_000;

/// Store of the health reports of all directors.
#[derive(Clone, Debug)]
pub struct HealthStore {
    director_index: u16,
    report_ttl: Span,
    /// Reports by node and source.
    reports: BTreeMap<u64, BTreeMap<u16, StoredReport>>,
    /// Number of consecutive failures of own SETUPs, by node.
    consecutive_failures: BTreeMap<u64, u16>,
    /// Version of the last report issued by this director.
    last_version: u64,
}

impl HealthStore {
    /// Creates an empty store. Versions of own reports start above `last_version`, which must not be below
    /// any version used by a previous process of this director.
    pub fn new(director_index: usize, report_ttl: Span, last_version: u64) -> HealthStore {
        HealthStore {
            director_index: director_index as u16,
            report_ttl,
            reports: BTreeMap::new(),
            consecutive_failures: BTreeMap::new(),
            last_version,
        }
    }

    /// Records the outcome of an own SETUP at this node. Returns a report if one is to be sent to others.
    pub fn record_outcome(&mut self, node: u64, health: NodeHealth, now: Instant) -> Option<HealthReport> {
        let previous = self.reports.get(&node).and_then(|reports| reports.get(&self.director_index)).copied();
        let fresh = previous.filter(|report| now - report.observed_at < self.report_ttl);
        if health == NodeHealth::Well {
            self.consecutive_failures.remove(&node);
            // Healthy nodes are reported only in reply to contrary reports, and then at a limited rate.
            let contradicted = self.reports.get(&node).is_some_and(|reports| {
                reports.iter().any(|(_, report)| {
                    report.health != NodeHealth::Well && now - report.observed_at < self.report_ttl * 2.0
                })
            });
            let reported_recently = fresh.is_some_and(|report| {
                report.health == NodeHealth::Well && now - report.observed_at < self.report_ttl * 0.25
            });
            return (contradicted && !reported_recently).then(|| self.issue(node, health, 1, now));
        }
        let failures = self.consecutive_failures.entry(node).or_default();
        *failures = failures.saturating_add(1);
        let failures = *failures;
        self.limit_failure_counts();
        let reported_recently = fresh.is_some_and(|report| {
            report.health != NodeHealth::Well && now - report.observed_at < self.report_ttl * 0.25
        });
        // A single failure is reported: it may be chance for one director, but in a large fleet, where each
        // director rarely tries a given node, it is all the evidence there is.
        (!reported_recently).then(|| self.issue(node, health, failures, now))
    }

    /// Drops the counts of the nodes with the lowest ids beyond [`MAX_NODES`].
    fn limit_failure_counts(&mut self) {
        while self.consecutive_failures.len() > MAX_NODES {
            self.consecutive_failures.pop_first();
        }
    }

    /// Creates an own report with the next version, and stores it.
    fn issue(&mut self, node: u64, health: NodeHealth, setups: u16, now: Instant) -> HealthReport {
        self.last_version += 1;
        let report = HealthReport {
            source: self.director_index,
            node,
            version: self.last_version,
            health,
            setups,
            age_ms: 0,
        };
        self.merge(&report, now);
        report
    }

    /// Merges a report into the store. Returns whether it is newer than the stored one.
    pub fn merge(&mut self, report: &HealthReport, now: Instant) -> bool {
        if report.age_ms > MAX_REPORT_AGE_MS {
            return false;
        }
        let observed_at = now - Span::from_ms(f64::from(report.age_ms));
        let received = StoredReport {
            version: report.version,
            health: report.health,
            setups: report.setups,
            observed_at,
        };
        if !self.reports.contains_key(&report.node) && self.reports.len() >= MAX_NODES {
            let newest = |reports: &BTreeMap<u16, StoredReport>| {
                reports.values().map(|report| report.observed_at).max()
            };
            let oldest =
                self.reports.iter().min_by_key(|(_, reports)| newest(reports)).map(|(&node, _)| node);
            oldest.and_then(|node| self.reports.remove(&node));
        }
        let reports = self.reports.entry(report.node).or_default();
        match reports.get_mut(&report.source) {
            Some(stored) if stored.version > received.version => false,
            Some(stored) if stored.version == received.version => {
                // Another copy of the same report: the earlier time is the closer bound on when it was
                // issued.
                stored.observed_at = stored.observed_at.min(received.observed_at);
                false
            }
            Some(stored) => {
                *stored = received;
                true
            }
            None => {
                reports.insert(report.source, received);
                true
            }
        }
    }

    /// Drops reports that are older than four times the time for which they are taken into account.
    pub fn remove_expired(&mut self, now: Instant) {
        let report_ttl = self.report_ttl;
        self.reports.retain(|_, reports| {
            reports.retain(|_, report| now - report.observed_at < report_ttl * 4.0);
            !reports.is_empty()
        });
    }

    /// Returns the number of stored reports.
    pub fn len(&self) -> usize {
        self.reports.values().map(BTreeMap::len).sum()
    }

    /// Returns whether the store holds no reports.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns all stored reports, with their ages at `now`.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = HealthReport> {
        let with_age = move |node, source, report: &StoredReport| HealthReport {
            source,
            node,
            version: report.version,
            health: report.health,
            setups: report.setups,
            age_ms: (now - report.observed_at).as_ms().clamp(0.0, f64::from(u32::MAX)) as u32,
        };
        self.reports.iter().flat_map(move |(&node, reports)| {
            reports.iter().map(move |(&source, report)| with_age(node, source, report))
        })
    }

    /// Returns the nodes to be tried last because of others' reports, each with the sources of these reports.
    /// `zones` holds the zone of each director.
    pub fn suspected_nodes(&self, zones: &[u8], now: Instant) -> BTreeMap<u64, Vec<u16>> {
        let faulty = self.faulty_sources(zones.len(), now);
        let distinct_zones: BTreeSet<u8> = zones.iter().copied().collect();
        let required = MIN_SOURCES.min(zones.len().div_ceil(2)).max(1);
        let mut suspected = BTreeMap::new();
        for (&node, reports) in &self.reports {
            let sources_with = |matches_health: fn(NodeHealth) -> bool, report_ttl: Span| {
                let matching = reports.iter().filter(move |(_, report)| {
                    matches_health(report.health) && now - report.observed_at < report_ttl
                });
                matching
                    .map(|(&source, _)| source)
                    .filter(|source| !faulty.contains(source))
                    .collect::<Vec<u16>>()
            };
            // Own observations take precedence: a node that answers this director is not suspected.
            let own = reports.get(&self.director_index);
            if own
                .is_some_and(|own| own.health == NodeHealth::Well && now - own.observed_at < self.report_ttl)
            {
                continue;
            }
            // Reports expire at each director after a different time, so that a few directors retry the node
            // first instead of all at once.
            let delay = uniform_hash(&[u64::from(self.director_index), node]) % 1024;
            let report_ttl = self.report_ttl * (1.0 + delay as f64 / 1024.0);
            let unhealthy_sources = sources_with(|health| health != NodeHealth::Well, report_ttl);
            let healthy_sources = sources_with(|health| health == NodeHealth::Well, self.report_ttl);
            let reporting_zones: BTreeSet<u8> = unhealthy_sources
                .iter()
                .filter_map(|&source| zones.get(usize::from(source)).copied())
                .collect();
            // Directors of the same zone reach the node by the same network paths. From other zones reports
            // of two are required, as one zone may be partitioned.
            let own_zone_reports = zones
                .get(usize::from(self.director_index))
                .is_some_and(|zone| reporting_zones.contains(zone));
            let independent = unhealthy_sources.len() >= required
                && (own_zone_reports || reporting_zones.len() >= distinct_zones.len().min(2));
            if independent && unhealthy_sources.len() > healthy_sources.len() {
                suspected.insert(node, unhealthy_sources);
            }
        }
        suspected
    }

    /// Returns the sources that report failures alone at more nodes than they share with other sources. Their
    /// own link, clock or counting is considered faulty.
    fn faulty_sources(&self, director_count: usize, now: Instant) -> BTreeSet<u16> {
        // By source: the number of nodes that it alone reports, and of those that others report as well.
        let mut counts: BTreeMap<u16, (usize, usize)> = BTreeMap::new();
        for reports in self.reports.values() {
            let unhealthy_sources = reports.iter().filter(|(_, report)| {
                report.health != NodeHealth::Well && now - report.observed_at < self.report_ttl * 2.0
            });
            let unhealthy_sources: Vec<u16> = unhealthy_sources.map(|(&source, _)| source).collect();
            for &source in &unhealthy_sources {
                let entry = counts.entry(source).or_default();
                if unhealthy_sources.len() == 1 { entry.0 += 1 } else { entry.1 += 1 }
            }
        }
        let is_faulty =
            |&(alone, shared): &(usize, usize)| director_count > 2 && alone >= 3 && alone > shared;
        counts.iter().filter(|(_, counts)| is_faulty(counts)).map(|(&source, _)| source).collect()
    }
}
