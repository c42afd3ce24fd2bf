//! One session of a viewer's connection: its SETUP that is out, its node, and the media of its tracks on their way.

use ashglade::ids::SessionId;
use ashglade_rtsp::presentation::{self, Asked};
use ashglade_rtsp::rewrite::{Meter, Rewriter};
use ashglade_rtsp::rtcp::{self, Heard};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::attempt::Attempt;
use crate::node::NodeSide;
use crate::orders::Order;
use crate::shared::Shared;

/// A session, from its request to its end.
pub struct Live {
    pub sess: SessionId,
    pub asked: Asked,
    pub orders: mpsc::Receiver<Order>,
    pub attempt: Option<Attempt<Box<NodeSide>>>,
    pub node: Option<Box<NodeSide>>,
    /// The rung that the engine wants, and the one that the node was told.
    pub rung: u8,
    pub told: u8,
    pub kept_alive: Instant,
    tracks: Vec<Track>,
}

/// The media of one track.
struct Track {
    rewriter: Rewriter,
    meter: Meter,
    /// What the viewer last reported.
    heard: Option<Heard>,
}

/// What is to be done with a frame of the node's.
pub enum Frame {
    Rtp {
        track: u8,
    },
    Rtcp {
        track: u8,
    },
    /// The node said that the stream is over; this goes on to the viewer all the same.
    Bye {
        track: u8,
    },
    /// Nobody's.
    Stray,
}

impl Live {
    pub fn new(shared: &Shared, sess: SessionId, asked: Asked, orders: mpsc::Receiver<Order>) -> Live {
        let track = |&rate: &u32| Track {
            rewriter: Rewriter::new(shared.random() as u32, rate),
            meter: Meter::new(rate, shared.clock.elapsed_micros()),
            heard: None,
        };
        Live {
            sess,
            asked,
            orders,
            attempt: None,
            node: None,
            rung: 0,
            told: 0,
            kept_alive: Instant::now(),
            tracks: shared.settings.front.clock_rates.iter().map(track).collect(),
        }
    }

    /// The SSRC that the viewer sees on a track.
    pub fn ssrc(&self, track: u8) -> u32 {
        self.tracks.get(usize::from(track)).map_or(0, |track| track.rewriter.ssrc())
    }

    /// Makes a frame of the node's one of the viewer's stream.
    pub fn frame(&mut self, channel: u8, payload: &mut [u8], now_us: u64) -> Frame {
        let of = self.node.as_ref().and_then(|node| node.client.track_of(channel));
        let Some((number, rtp)) = of else { return Frame::Stray };
        let Some(track) = self.tracks.get_mut(usize::from(number)) else { return Frame::Stray };
        if rtp {
            track.meter.saw(payload);
            return match track.rewriter.rtp(payload, now_us) {
                true => Frame::Rtp { track: number },
                false => Frame::Stray,
            };
        }
        let bye = rtcp::says_bye(payload);
        match (track.rewriter.rtcp(payload), bye) {
            (true, true) => Frame::Bye { track: number },
            (true, false) => Frame::Rtcp { track: number },
            (false, _) => Frame::Stray,
        }
    }

    /// The viewer's RTCP on a track.
    pub fn reported(&mut self, track: u8, packet: &[u8]) {
        if let Some(track) = self.tracks.get_mut(usize::from(track)) {
            track.heard = rtcp::heard(packet, track.rewriter.ssrc()).or(track.heard);
        }
    }

    /// The node's `RTP-Info` as it is true of the viewer's stream.
    pub fn rtp_info(&self, value: &str) -> String {
        let seen = presentation::rtp_info(value).into_iter().map(|mut begins| {
            if let Some(track) = self.tracks.get(usize::from(begins.track)) {
                let (seq, ts) = track.rewriter.seen(begins.seq.unwrap_or(0), begins.rtptime.unwrap_or(0));
                (begins.seq, begins.rtptime) = (begins.seq.and(Some(seq)), begins.rtptime.and(Some(ts)));
            }
            begins
        });
        presentation::write_rtp_info(seen, |track| self.asked.track_url(track))
    }

    /// From here on what arrives is measured.
    pub fn plays(&mut self, now_us: u64) {
        self.tracks.iter_mut().for_each(|track| track.meter.restart(now_us));
    }

    /// The least share that any track of those set up got, as far as enough was due to tell: what arrived here, less
    /// what the viewer says that it missed.
    pub fn share(&mut self, now_us: u64, set_up: impl Fn(u8) -> bool) -> Option<f64> {
        let shares =
            (0u8..).zip(&mut self.tracks).filter(|(number, _)| set_up(*number)).filter_map(|(_, track)| {
                let flow = track.meter.take(now_us)?;
                Some(flow.share * (1.0 - track.heard.map_or(0.0, |heard| heard.lost)))
            });
        shares.reduce(f64::min)
    }
}
