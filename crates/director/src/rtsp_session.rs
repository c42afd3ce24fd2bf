//! The session of an RTSP viewer: its SETUP attempt in flight, its node, and the rewriting of its media from
//! the node's RTP stream to the stream that the viewer sees.

use ashglade::ids::SessionId;
use ashglade_rtsp::presentation::{self, PresentationUrl};
use ashglade_rtsp::rewrite::{DeliveryMeter, RtpRewriter};
use ashglade_rtsp::rtcp::{self, ReceptionReport};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::attempt::Attempt;
use crate::context::DirectorContext;
use crate::engine_handle::SessionCommand;
use crate::node_session::NodeSession;

/// An RTSP session, from the viewer's request to its end.
pub struct RtspSession {
    /// The engine's identifier of the session.
    pub id: SessionId,
    /// What the viewer requested by its URL.
    pub requested: PresentationUrl,
    /// Commands of the engine.
    pub commands: mpsc::Receiver<SessionCommand>,
    /// The SETUP in flight.
    pub attempt: Option<Attempt<Box<NodeSession>>>,
    /// The session at its node, once set up.
    pub node: Option<Box<NodeSession>>,
    /// The rung chosen by the engine.
    pub rung: u8,
    /// The rung last requested from the node.
    pub node_rung: u8,
    /// When the last keep-alive to the node was due.
    pub last_keep_alive: Instant,
    tracks: Vec<Track>,
}

/// The media of one track.
struct Track {
    rewriter: RtpRewriter,
    meter: DeliveryMeter,
    /// The viewer's last RTCP receiver report.
    receiver_report: Option<ReceptionReport>,
}

/// What an interleaved frame of the node carries.
pub enum FrameKind {
    Rtp {
        track: u8,
    },
    Rtcp {
        track: u8,
    },
    /// An RTCP packet with a BYE, by which the node ends the stream. It is still relayed to the viewer.
    Bye {
        track: u8,
    },
    /// Of no known track, or not a valid packet. It is dropped.
    Unknown,
}

impl RtspSession {
    pub fn new(
        context: &DirectorContext,
        id: SessionId,
        requested: PresentationUrl,
        commands: mpsc::Receiver<SessionCommand>,
    ) -> RtspSession {
        let track = |&clock_rate: &u32| Track {
            rewriter: RtpRewriter::new(context.random() as u32, clock_rate),
            meter: DeliveryMeter::new(clock_rate, context.clock.elapsed_micros()),
            receiver_report: None,
        };
        RtspSession {
            id,
            requested,
            commands,
            attempt: None,
            node: None,
            rung: 0,
            node_rung: 0,
            last_keep_alive: Instant::now(),
            tracks: context.settings.rtsp.clock_rates.iter().map(track).collect(),
        }
    }

    /// Returns the SSRC that the viewer sees on a track.
    pub fn ssrc(&self, track: u8) -> u32 {
        self.tracks.get(usize::from(track)).map_or(0, |track| track.rewriter.ssrc())
    }

    /// Rewrites a frame of the node in place to one of the viewer's stream.
    pub fn rewrite_frame(&mut self, channel: u8, payload: &mut [u8], now_us: u64) -> FrameKind {
        let source = self.node.as_ref().and_then(|node| node.client.track_for_channel(channel));
        let Some((number, rtp)) = source else { return FrameKind::Unknown };
        let Some(track) = self.tracks.get_mut(usize::from(number)) else { return FrameKind::Unknown };
        if rtp {
            track.meter.record(payload);
            return match track.rewriter.rewrite_rtp(payload, now_us) {
                true => FrameKind::Rtp { track: number },
                false => FrameKind::Unknown,
            };
        }
        let bye = rtcp::contains_bye(payload);
        match (track.rewriter.rewrite_rtcp(payload), bye) {
            (true, true) => FrameKind::Bye { track: number },
            (true, false) => FrameKind::Rtcp { track: number },
            (false, _) => FrameKind::Unknown,
        }
    }

    /// Keeps the receiver report in the viewer's RTCP packet on a track.
    pub fn handle_viewer_rtcp(&mut self, track: u8, packet: &[u8]) {
        if let Some(track) = self.tracks.get_mut(usize::from(track)) {
            track.receiver_report =
                rtcp::reception_report(packet, track.rewriter.ssrc()).or(track.receiver_report);
        }
    }

    /// Converts the node's `RTP-Info` to the sequence numbers, timestamps and URLs of the viewer's stream.
    pub fn rtp_info(&self, value: &str) -> String {
        let entries = presentation::parse_rtp_info(value).into_iter().map(|mut entry| {
            if let Some(track) = self.tracks.get(usize::from(entry.track)) {
                let (seq, timestamp) =
                    track.rewriter.map_position(entry.seq.unwrap_or(0), entry.rtptime.unwrap_or(0));
                (entry.seq, entry.rtptime) = (entry.seq.and(Some(seq)), entry.rtptime.and(Some(timestamp)));
            }
            entry
        });
        presentation::format_rtp_info(entries, |track| self.requested.track_url(track))
    }

    /// Restarts the measurement of delivery, as the node now plays.
    pub fn start_playing(&mut self, now_us: u64) {
        self.tracks.iter_mut().for_each(|track| track.meter.restart(now_us));
    }

    /// Returns the lowest share of its media that a track has received since the last call: what arrived from
    /// the node, less the viewer's reported loss. Only tracks that are set up and of which enough was due
    /// count; `None` if there is none.
    pub fn delivered_share(&mut self, now_us: u64, set_up: impl Fn(u8) -> bool) -> Option<f64> {
        let shares =
            (0u8..).zip(&mut self.tracks).filter(|(number, _)| set_up(*number)).filter_map(|(_, track)| {
                let flow = track.meter.finish_window(now_us)?;
                Some(
                    flow.delivered_fraction
                        * (1.0 - track.receiver_report.map_or(0.0, |report| report.fraction_lost)),
                )
            });
        shares.reduce(f64::min)
    }
}
