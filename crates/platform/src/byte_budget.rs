//! A limit on bytes that are held for many parties.
//!
//! Shared buffer memory is divided by dynamic thresholds (Choudhury and Hahne, 1998): a party may hold at most as
//! many bytes as are left free. One party alone gets up to half of the limit, and however many parties hold as
//! much as they may, a part as large as theirs remains for the next one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A number of bytes that all accounts of one budget may hold together.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget { limit, used: Arc::default() }
    }

    /// Opens the account of one party.
    pub fn open_account(&self) -> ByteAccount {
        ByteAccount { budget: self.clone(), held: Arc::default() }
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// The part of a budget that one party holds. Clones are the same account.
#[derive(Clone, Debug)]
pub struct ByteAccount {
    budget: ByteBudget,
    held: Arc<AtomicUsize>,
}

impl ByteAccount {
    /// Returns whether the party could reserve this many bytes if the budget had only this part of its limit.
    pub fn has_room_within(&self, part: f64, bytes: usize) -> bool {
        let limit = (self.budget.limit as f64 * part) as usize;
        self.held.load(Ordering::Relaxed) + bytes <= limit.saturating_sub(self.budget.used())
    }

    /// Reserves bytes until the returned reservation is dropped. Returns `None` if the party would hold more
    /// than is left free.
    pub fn reserve(&self, bytes: usize) -> Option<ByteReservation> {
        if !self.has_room_within(1.0, bytes) {
            return None;
        }
        self.held.fetch_add(bytes, Ordering::Relaxed);
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        Some(ByteReservation { bytes, held: self.held.clone(), used: self.budget.used.clone() })
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    bytes: usize,
    held: Arc<AtomicUsize>,
    used: Arc<AtomicUsize>,
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
