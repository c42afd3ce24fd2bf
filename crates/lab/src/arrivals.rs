//! Draws the arrivals of a day: when each viewer comes and what it requests. Depends on the seed alone, so
//! that runs on sockets and in the emulator get the same viewers.

use ashglade_settings::Settings;

use crate::day::schema::Viewers;
use crate::day::{Day, TroubleKind};

/// One viewer. Times and spans are in seconds.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the first request.
    pub at_s: f64,
    /// Directors in the order in which the viewer tries them.
    pub directors: Vec<u16>,
    /// Index of its service group.
    pub group: usize,
    /// Index of its title.
    pub title: usize,
    /// Highest rung that it can use.
    pub top_rung: u8,
    /// Length of the session.
    pub watch_s: f64,
    /// How long it waits for an answer, if it leaves before its setup timeout.
    pub leaves_after_s: Option<f64>,
    /// Maximum number of retries after busy replies and losses.
    pub max_retries: u32,
    /// Delay before a retry, unless a busy reply gives another.
    pub retry_delay_s: f64,
    /// Whether it plays over HLS.
    pub uses_hls: bool,
}

/// Draws all viewers of the day, in order of arrival.
pub fn draw(day: &Day, settings: &Settings) -> Vec<Arrival> {
    let mut arrivals: Vec<Arrival> = day
        .viewers
        .iter()
        .zip(0u128..)
        .flat_map(|(viewers, i)| draw_viewers(day, settings, viewers, i))
        .collect();
    arrivals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    arrivals
}

/// Draws the viewers of one entry of the day. Each entry has a random stream of its own, selected by
/// `stream_number`.
fn draw_viewers(day: &Day, settings: &Settings, viewers: &Viewers, stream_number: u128) -> Vec<Arrival> {
    let mut random = oorandom::Rand64::new(u128::from(day.seed.unwrap_or(0)) | stream_number << 64);
    let titles = settings.titles.len();
    let title_weights: Vec<f64> =
        (1..=titles).map(|k| (k as f64).powf(-viewers.title_zipf.unwrap_or(0.0))).collect();
    let weights_or_equal =
        |given: &[f64], count: usize| if given.is_empty() { vec![1.0; count] } else { given.to_vec() };
    let group_weights = weights_or_equal(&viewers.group_share, settings.group_names.len());
    let director_weights = weights_or_equal(&viewers.director_share, day.directors.unwrap_or(1) as usize);
    let eligible_directors: Vec<u16> =
        (0u16..).zip(&director_weights).filter(|(_, share)| **share > 0.0).map(|(d, _)| d).collect();
    let bursts: Vec<(f64, f64, f64)> = day
        .trouble
        .iter()
        .filter(|t| t.kind() == TroubleKind::Burst)
        .map(|t| {
            (t.at_s.unwrap_or(0.0), t.at_s.unwrap_or(0.0) + t.for_s.unwrap_or(0.0), t.size.unwrap_or(1.0))
        })
        .collect();
    let until_s = viewers.to_s.unwrap_or(f64::INFINITY).min(day.seconds.unwrap_or(0.0));
    let top_rung = settings.top_rung();
    let mut arrivals = Vec::new();
    let mut at_s = viewers.from_s.unwrap_or(0.0);
    loop {
        let factor: f64 = bursts
            .iter()
            .filter(|(start, end, _)| *start <= at_s && at_s < *end)
            .map(|burst| burst.2)
            .product();
        at_s += -(1.0 - random.rand_float()).ln() / (viewers.rate.unwrap_or(1.0) * factor);
        if at_s >= until_s {
            return arrivals;
        }
        let group = pick_weighted(&mut random, &group_weights);
        let title = pick_weighted(&mut random, &title_weights);
        let timeout = settings.setup_timeouts[group].as_ms() / 1e3;
        let (from, to) = (viewers.watch_from_s.unwrap_or(1.0), viewers.watch_to_s.unwrap_or(1.0));
        let watch_s = from + (to - from) * random.rand_float();
        let small_screen = random.rand_float() < viewers.small_screens.unwrap_or(0.0);
        let impatient = random.rand_float() < viewers.impatient.unwrap_or(0.0);
        let leaves_after_s = timeout * 0.1 * random.rand_float();
        let first = pick_weighted(&mut random, &director_weights) as u16;
        let mut directors = eligible_directors.clone();
        let position = directors.iter().position(|&d| d == first).unwrap_or(0);
        directors.rotate_left(position);
        let retry_delay_s = viewers.rejoin_ms.unwrap_or(1000.0) * (0.5 + 0.5 * random.rand_float()) / 1e3;
        // Draws a number only if HLS viewers are configured, so that the sequence of other days doesn't
        // change.
        let uses_hls = viewers.hls_share.is_some_and(|share| share > 0.0 && random.rand_float() < share);
        arrivals.push(Arrival {
            at_s,
            directors,
            group,
            title,
            top_rung: if small_screen { top_rung / 2 } else { top_rung },
            watch_s,
            leaves_after_s: impatient.then_some(leaves_after_s),
            max_retries: viewers.returns.unwrap_or(0),
            retry_delay_s,
            uses_hls,
        });
    }
}

/// Draws an index with probability proportional to its weight.
fn pick_weighted(random: &mut oorandom::Rand64, weights: &[f64]) -> usize {
    let mut remaining = random.rand_float() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}
