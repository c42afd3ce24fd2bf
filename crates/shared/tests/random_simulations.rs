//! Simulations from random seeds: twelve directors in three zones. Links lose, delay, duplicate and reorder
//! messages and are partitioned in one or both directions; directors pause, restart, and need more or fewer
//! permits. The environment variable `ASHGLADE_STEPS` sets the number of steps.

mod simulation;

use ashglade_shared::InjectedFault;
use ashglade_shared::permits::PermitMessage;
use oorandom::Rand64;
use simulation::{MAX_CLOCK_DRIFT, Simulation};

const DIRECTORS: usize = 12;
const STEP_MS: f64 = 50.0;

struct Run {
    simulation: Simulation,
    random: Rand64,
    /// Messages in flight: arrival time in milliseconds, sender, recipient, content.
    in_flight: Vec<(f64, usize, usize, PermitMessage)>,
    /// Time until which each director is paused, in milliseconds.
    paused_until: [f64; DIRECTORS],
    /// Time until which messages from the first to the second director are lost, in milliseconds.
    lost_until: [[f64; DIRECTORS]; DIRECTORS],
    /// Fraction of all messages that are lost.
    loss_fraction: f64,
}

impl Run {
    fn new(seed: u64, injected_fault: Option<InjectedFault>) -> Run {
        let mut random = Rand64::new(u128::from(seed));
        let rates = (0..DIRECTORS)
            .map(|_| 1.0 - MAX_CLOCK_DRIFT + 2.0 * MAX_CLOCK_DRIFT * random.rand_float())
            .collect();
        let simulation = Simulation::new(rates, 3, injected_fault);
        Run {
            simulation,
            random,
            in_flight: Vec::new(),
            paused_until: [0.0; DIRECTORS],
            lost_until: [[0.0; DIRECTORS]; DIRECTORS],
            loss_fraction: 0.0,
        }
    }

    fn random_director(&mut self) -> usize {
        self.random.rand_range(0..DIRECTORS as u64) as usize
    }

    fn send(&mut self, from: usize, to: usize, message: PermitMessage) {
        let copies = if self.random.rand_float() < 0.05 { 2 } else { 1 };
        for _ in 0..copies {
            if self.random.rand_float() >= self.loss_fraction
                && self.simulation.now_ms >= self.lost_until[from][to]
            {
                let max_delay_ms = if self.random.rand_float() < 0.05 { 5000.0 } else { 100.0 };
                let arrival_ms = self.simulation.now_ms + max_delay_ms * self.random.rand_float();
                self.in_flight.push((arrival_ms, from, to, message.clone()));
            }
        }
    }

    fn random_event(&mut self) {
        let until = self.simulation.now_ms + 15_000.0 * self.random.rand_float();
        let (director, other) = (self.random_director(), self.random_director());
        match self.random.rand_range(0..9) {
            0 => self.simulation.restart(director),
            1 => self.paused_until[director] = until,
            2 => self.lost_until[director][other] = until,
            3 => (0..DIRECTORS).for_each(|d| self.lost_until[director][d] = until),
            4 => (0..DIRECTORS).for_each(|d| self.lost_until[d][director] = until),
            // Partitions one zone from the others.
            5 => {
                for (a, b) in (0..DIRECTORS).flat_map(|a| (0..DIRECTORS).map(move |b| (a, b))) {
                    if (a % 3 == director % 3) != (b % 3 == director % 3) {
                        self.lost_until[a][b] = until;
                    }
                }
            }
            6 => self.loss_fraction = 0.5 * self.random.rand_float(),
            7 => self.simulation.directors[director].set_needed(0, DIRECTORS),
            _ => self.simulation.directors[director].set_needed(0, self.random.rand_range(0..3) as usize),
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.simulation.now_ms += STEP_MS;
        if self.random.rand_float() < 0.02 {
            self.random_event();
        }
        let now = self.simulation.now_ms;
        for director in 0..DIRECTORS {
            if now >= self.paused_until[director] {
                let messages = self.simulation.tick(director);
                messages.into_iter().for_each(|(to, message)| self.send(director, to, message));
            }
        }
        let (mut due, pending) = std::mem::take(&mut self.in_flight).into_iter().partition(|m| m.0 <= now);
        self.in_flight = pending;
        let sorted: &mut Vec<(f64, usize, usize, PermitMessage)> = &mut due;
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, from, to, message) in due {
            if now < self.paused_until[to] {
                // The message waits in the socket's receive buffer.
                self.in_flight.push((self.paused_until[to], from, to, message));
            } else if let Some((recipient, reply)) = self.simulation.receive(from, to, &message) {
                self.send(to, recipient, reply);
            }
        }
        self.simulation.check(STEP_MS)
    }
}

fn steps() -> usize {
    std::env::var("ASHGLADE_STEPS").ok().and_then(|n| n.parse().ok()).unwrap_or(40_000)
}

fn run_seeds(injected_fault: Option<InjectedFault>, steps: usize) -> Result<usize, String> {
    let mut max_held = 0;
    for seed in 0..(steps / 4000).max(1) as u64 {
        let mut run = Run::new(seed, injected_fault);
        for _ in 0..4000 {
            run.step().map_err(|violation| format!("seed {seed}: {violation}"))?;
        }
        max_held = max_held.max(run.simulation.max_held);
    }
    Ok(max_held)
}

#[test]
fn no_random_simulation_lets_two_directors_use_one_permit() {
    let max_held = run_seeds(None, steps()).unwrap();
    assert!(max_held > DIRECTORS + DIRECTORS / 2, "permits are in use: {max_held} at most");
}

#[test]
fn random_simulations_find_each_injected_fault() {
    for injected_fault in
        [InjectedFault::NoGuardInterval, InjectedFault::LeaseFromReply, InjectedFault::DoubleGrant]
    {
        let found = run_seeds(Some(injected_fault), 400_000).expect_err("two directors use one permit");
        assert!(found.contains("was used by"), "{found}");
    }
}

#[test]
fn all_leasable_permits_go_to_a_director_that_needs_them_and_return_after_it_fails() {
    let mut run = Run::new(3, None);
    let held = |run: &Run, director: usize| run.simulation.held(director).len();
    let until = |run: &mut Run, condition: &dyn Fn(&Run) -> bool, limit_ms: f64| {
        let started_ms = run.simulation.now_ms;
        while !condition(run) {
            run.step_without_event().unwrap();
            assert!(
                run.simulation.now_ms - started_ms < limit_ms,
                "{:?} after {limit_ms} ms",
                (0..DIRECTORS).map(|director| held(run, director)).collect::<Vec<_>>()
            );
        }
        run.simulation.now_ms - started_ms
    };
    run.simulation.directors[4].set_needed(0, DIRECTORS);
    let gathered_ms = until(&mut run, &|run| held(run, 4) == DIRECTORS + 1, 30_000.0);
    // A zone fails, and with it the director that holds all permits. They are available to another director
    // after the lease and the guard interval, both extended by clock drift, and a few rounds to find them.
    run.simulation.directors[6].set_needed(0, DIRECTORS);
    for director in [1, 4, 7, 10] {
        run.paused_until[director] = f64::INFINITY;
    }
    let regained_ms = until(&mut run, &|run| held(run, 6) == DIRECTORS + 1, 40_000.0);
    // Owners that need their own permits have them again within a lease and the guard interval.
    (0..DIRECTORS).for_each(|director| {
        if ![1, 4, 6, 7, 10].contains(&director) {
            run.simulation.directors[director].set_needed(0, 1)
        }
    });
    let returned_ms = until(
        &mut run,
        &|run| [0, 2, 3, 5, 8, 9, 11].iter().all(|&director| held(run, director) == 2),
        20_000.0,
    );
    expect_test::expect![[r#"
        ms: 12550 19650 6950
    "#]]
    .assert_eq(&format!("ms: {gathered_ms:.0} {regained_ms:.0} {returned_ms:.0}\n"));
}

impl Run {
    /// Runs a step. If the random draw of `step` would cause a random event, it is consumed first.
    fn step_without_event(&mut self) -> Result<(), String> {
        let saved = self.random;
        let drawn = self.random.rand_float();
        if drawn >= 0.02 {
            self.random = saved;
        }
        self.step()
    }
}
