//! Who comes in a day, when and wanting what: drawn from the seed alone, for sockets and for the emulator alike.

use ashglade_settings::Settings;

use crate::day::schema::Viewers;
use crate::day::{Day, Kind};

/// One viewer, from its first request on. Times in seconds.
#[derive(Clone, Debug)]
pub struct Visit {
    pub at: f64,
    /// The directors that it turns to, one after the other.
    pub directors: Vec<u16>,
    pub group: usize,
    pub title: usize,
    pub top: u8,
    pub watch: f64,
    /// Leaves before it is answered, if by then it is not.
    pub leaves_after: Option<f64>,
    /// Comes again after a busy reply or a break so often at most, and unless told otherwise after so long.
    pub returns: u32,
    pub rejoin: f64,
    /// Its player speaks HTTP.
    pub hls: bool,
}

/// All viewers of the day, in the order in which they come.
pub fn draw(day: &Day, settings: &Settings) -> Vec<Visit> {
    let mut visits: Vec<Visit> =
        day.viewers.iter().zip(0u128..).flat_map(|(crowd, i)| one_crowd(day, settings, crowd, i)).collect();
    visits.sort_by(|a, b| a.at.total_cmp(&b.at));
    visits
}

fn one_crowd(day: &Day, settings: &Settings, viewers: &Viewers, number: u128) -> Vec<Visit> {
    let mut random = oorandom::Rand64::new(u128::from(day.seed.unwrap_or(0)) | number << 64);
    let titles = settings.titles.len();
    let wanted: Vec<f64> =
        (1..=titles).map(|k| (k as f64).powf(-viewers.title_zipf.unwrap_or(0.0))).collect();
    let even = |given: &[f64], of: usize| if given.is_empty() { vec![1.0; of] } else { given.to_vec() };
    let groups = even(&viewers.group_share, settings.group_names.len());
    let directors = even(&viewers.director_share, day.directors.unwrap_or(1) as usize);
    let turned_to: Vec<u16> =
        (0u16..).zip(&directors).filter(|(_, share)| **share > 0.0).map(|(d, _)| d).collect();
    let bursts: Vec<(f64, f64, f64)> = day
        .trouble
        .iter()
        .filter(|t| t.kind() == Kind::Burst)
        .map(|t| {
            (t.at_s.unwrap_or(0.0), t.at_s.unwrap_or(0.0) + t.for_s.unwrap_or(0.0), t.size.unwrap_or(1.0))
        })
        .collect();
    let until = viewers.to_s.unwrap_or(f64::INFINITY).min(day.seconds.unwrap_or(0.0));
    let top = settings.top_rung();
    let mut visits = Vec::new();
    let mut at = viewers.from_s.unwrap_or(0.0);
    loop {
        let factor: f64 = bursts.iter().filter(|(a, b, _)| *a <= at && at < *b).map(|b| b.2).product();
        at += -(1.0 - random.rand_float()).ln() / (viewers.rate.unwrap_or(1.0) * factor);
        if at >= until {
            return visits;
        }
        let group = pick(&mut random, &groups);
        let title = pick(&mut random, &wanted);
        let timeout = settings.setup_timeouts[group].as_ms() / 1e3;
        let (from, to) = (viewers.watch_from_s.unwrap_or(1.0), viewers.watch_to_s.unwrap_or(1.0));
        let watch = from + (to - from) * random.rand_float();
        let small = random.rand_float() < viewers.small_screens.unwrap_or(0.0);
        let leaves = random.rand_float() < viewers.impatient.unwrap_or(0.0);
        let leaves_after = timeout * 0.1 * random.rand_float();
        let first = pick(&mut random, &directors) as u16;
        let mut directors = turned_to.clone();
        let place = directors.iter().position(|&d| d == first).unwrap_or(0);
        directors.rotate_left(place);
        let rejoin = viewers.rejoin_ms.unwrap_or(1000.0) * (0.5 + 0.5 * random.rand_float()) / 1e3;
        // Drawn only where there are any: other days stay as they are.
        let hls = viewers.hls_share.is_some_and(|part| part > 0.0 && random.rand_float() < part);
        visits.push(Visit {
            at,
            directors,
            group,
            title,
            top: if small { top / 2 } else { top },
            watch,
            leaves_after: leaves.then_some(leaves_after),
            returns: viewers.returns.unwrap_or(0),
            rejoin,
            hls,
        });
    }
}

fn pick(random: &mut oorandom::Rand64, weights: &[f64]) -> usize {
    let mut left = random.rand_float() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}
