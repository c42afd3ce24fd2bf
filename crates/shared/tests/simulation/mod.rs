//! Simulated directors with clocks of different rates, and a check in true time that no two of them use one
//! permit. The check looks at the permits that each director holds, not at the messages.

use std::collections::BTreeMap;

use ashglade::time::{Instant, Span};
use ashglade_shared::permits::{PermitLeases, PermitMessage};
use ashglade_shared::{FleetConfig, InjectedFault, PermitPool};

pub const MAX_CLOCK_DRIFT: f64 = 0.1;
pub const LEASE_MS: f64 = 3000.0;
pub const GUARD_INTERVAL_MS: f64 = 1000.0;

pub fn config(
    director_index: usize,
    director_count: usize,
    zone_count: u8,
    injected_fault: Option<InjectedFault>,
) -> FleetConfig {
    let ms = Span::from_ms;
    FleetConfig {
        director_index,
        zones: (0..director_count).map(|director| (director % usize::from(zone_count)) as u8).collect(),
        max_voters: 5,
        lease: ms(LEASE_MS),
        max_clock_drift: MAX_CLOCK_DRIFT,
        guard_interval: ms(GUARD_INTERVAL_MS),
        permit_pools: vec![PermitPool { reserved: 1, leasable: director_count, request_all: false }],
        report_ttl: ms(10_000.0),
        gossip_interval: ms(200.0),
        seed: 7,
        injected_fault,
    }
}

#[derive(Clone)]
pub struct Simulation {
    pub directors: Vec<PermitLeases>,
    /// Rate of each director's clock against true time.
    pub clock_rates: Vec<f64>,
    /// True time, in milliseconds.
    pub now_ms: f64,
    pub zone_count: u8,
    pub injected_fault: Option<InjectedFault>,
    /// By permit: the director that last held it, and when it was last seen to, in true time in milliseconds.
    last_use: BTreeMap<usize, (usize, f64)>,
    /// Number of the last restarted process.
    pub last_process: u64,
    /// Maximum number of permits held by all directors together at any check.
    pub max_held: usize,
}

impl Simulation {
    pub fn new(clock_rates: Vec<f64>, zone_count: u8, injected_fault: Option<InjectedFault>) -> Simulation {
        let director_count = clock_rates.len();
        let start = |director| {
            PermitLeases::new(
                config(director, director_count, zone_count, injected_fault),
                director as u64 + 1,
                Instant::from_ms(0.0),
            )
        };
        let directors = (0..director_count).map(start).collect();
        let (now_ms, last_use, last_process, max_held) = (0.0, BTreeMap::new(), 100, 0);
        Simulation {
            directors,
            clock_rates,
            now_ms,
            zone_count,
            injected_fault,
            last_use,
            last_process,
            max_held,
        }
    }

    pub fn local_time(&self, director: usize) -> Instant {
        Instant::from_ms(self.now_ms * self.clock_rates[director])
    }

    pub fn restart(&mut self, director: usize) {
        self.last_process += 1;
        let config = config(director, self.directors.len(), self.zone_count, self.injected_fault);
        self.directors[director] = PermitLeases::new(config, self.last_process, self.local_time(director));
        self.directors[director].set_needed(0, 1);
    }

    pub fn tick(&mut self, director: usize) -> Vec<(usize, PermitMessage)> {
        let now = self.local_time(director);
        self.directors[director].tick(now)
    }

    pub fn receive(
        &mut self,
        from: usize,
        to: usize,
        message: &PermitMessage,
    ) -> Option<(usize, PermitMessage)> {
        let now = self.local_time(to);
        self.directors[to].receive(from, message, now)
    }

    pub fn held(&self, director: usize) -> Vec<usize> {
        self.directors[director].held(0, self.local_time(director)).numbers
    }

    /// Checks the permits held by each director, `since` milliseconds after the previous check. The guard
    /// interval must have passed between two holders of a permit.
    pub fn check(&mut self, elapsed_ms: f64) -> Result<(), String> {
        let director_count = self.directors.len();
        let mut held_count = 0;
        for director in 0..director_count {
            for permit in self.held(director) {
                held_count += 1;
                if permit < director_count {
                    if permit != director {
                        return Err(format!("director {director} uses the permit reserved for {permit}"));
                    }
                    continue;
                }
                if let Some(&(previous, last_held_ms)) = self.last_use.get(&permit)
                    && previous != director
                    && self.now_ms - last_held_ms < GUARD_INTERVAL_MS - elapsed_ms
                {
                    let now = self.now_ms;
                    return Err(format!(
                        "permit {permit} was used by {previous} until {last_held_ms:.0} and by {director} at {now:.0}"
                    ));
                }
                self.last_use.insert(permit, (director, self.now_ms));
            }
        }
        self.max_held = self.max_held.max(held_count);
        if held_count > 2 * director_count {
            Err(format!("{held_count} permits are held, of {} that exist", 2 * director_count))
        } else {
            Ok(())
        }
    }
}
