//! Releases that are owed at an address whose node has been removed.
//!
//! Another node may have taken the address before the removal was reported, and may have been sent a SETUP that
//! was meant for the removed one. If the outcome of that SETUP is unknown, its session may play at the new
//! node, under a name that is not known yet.

use std::collections::VecDeque;
use std::net::SocketAddr;

use ashglade::time::{Instant, Span};
use bytes::Bytes;

/// Time for which a release is kept: as long as one that waits for a connection.
const TTL_SECONDS: f64 = 8.0;

struct OrphanedRelease {
    /// When the line was queued at first.
    queued_at: Instant,
    address: SocketAddr,
    line: Bytes,
}

/// The releases that are kept, oldest first.
#[derive(Default)]
pub(crate) struct OrphanedReleases(VecDeque<OrphanedRelease>);

impl OrphanedReleases {
    /// Keeps lines for the node that is reported at this address next. Returns the number of lines that are
    /// dropped as `capacity` is reached.
    pub fn keep(
        &mut self,
        now: Instant,
        address: SocketAddr,
        lines: impl IntoIterator<Item = (Instant, Bytes)>,
        capacity: usize,
    ) -> usize {
        self.0.retain(|release| now - release.queued_at <= Span::from_secs(TTL_SECONDS));
        let mut dropped = 0;
        for (queued_at, line) in lines {
            if self.0.len() < capacity {
                self.0.push_back(OrphanedRelease { queued_at, address, line });
            } else {
                dropped += 1;
            }
        }
        dropped
    }

    /// Removes and returns the lines for a node at this address, with the time at which each was queued.
    pub fn take(&mut self, now: Instant, address: SocketAddr) -> Vec<(Instant, Bytes)> {
        let mut lines = Vec::new();
        self.0.retain(|release| {
            let is_current = now - release.queued_at <= Span::from_secs(TTL_SECONDS);
            if is_current && release.address == address {
                lines.push((release.queued_at, release.line.clone()));
            }
            is_current && release.address != address
        });
        lines
    }
}
