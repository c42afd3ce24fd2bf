//! The task that owns the [`Gateway`]. Events that have arrived are processed in one batch, and the resulting
//! actions are passed to the connections without waiting for any of them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade::time::Instant;
use ashglade_clock::Clock;
use ashglade_platform::{Action, ByteBudget, DownstreamId, Event, Gateway, UpstreamId};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::timeout_at;
use tracing::{debug, info};

use crate::command_queue::{CommandSender, ConnectionCommand};
use crate::line_reader::ReceiveBudget;
use crate::listener::Acceptor;
use crate::upstream;

/// Capacity of the channel of connection events, and their maximum number in one batch. A full channel delays
/// the tasks that read sockets and loses nothing: unread data stays in the kernel's socket buffers, and flow
/// control slows its sender.
const MAX_EVENTS_PER_BATCH: usize = 1024;
/// Capacity of the channel of priority events, of which there are few.
const PRIORITY_QUEUE_LENGTH: usize = 4;
/// Interval of the log line with sizes and counters.
const STATE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of the log line of what is still open during a drain.
const DRAIN_LOG_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a timer beyond which the process is taken to have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// Time that connections have to write their last lines before the process exits, unless the process may be
/// killed earlier.
const SHUTDOWN_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the end of that and the earliest kill.
const SHUTDOWN_KILL_MARGIN: Duration = Duration::from_millis(40);

/// What the tasks of connections send to the event loop.
pub enum ConnectionEvent {
    /// A viewer connected from this address; the sender controls the connection.
    Opened(DownstreamId, IpAddr, mpsc::Sender<ConnectionCommand>),
    /// An event for the gateway.
    Gateway(Event),
    /// A received message for the gateway. The permit holds its bytes until it has been processed.
    Message(Event, OwnedSemaphorePermit),
}

/// Sends what connections report to the event loop. A full channel delays the tasks that read sockets and loses
/// nothing. Messages are bounded in bytes as well, by the reservation that each of them holds.
#[derive(Clone)]
pub struct EventSender {
    events: mpsc::Sender<ConnectionEvent>,
    receive_budget: ReceiveBudget,
}

impl EventSender {
    /// Returns the budget of the messages that are received on the connections.
    pub(crate) fn receive_budget(&self) -> &ReceiveBudget {
        &self.receive_budget
    }

    /// Sends an event. Returns false if the event loop has ended.
    pub async fn send(&self, event: ConnectionEvent) -> bool {
        self.events.send(event).await.is_ok()
    }
}

/// Descriptors available to connections, including those that are being closed. The two limits together leave
/// enough descriptors for the event bus and the process itself, even if all of both are in use.
#[derive(Clone)]
pub struct DescriptorPools {
    pub downstream: Arc<Semaphore>,
    pub upstream: Arc<Semaphore>,
}

impl DescriptorPools {
    pub fn new(gateway: &Gateway) -> DescriptorPools {
        let [downstream, upstream] = gateway.descriptor_limits();
        DescriptorPools {
            downstream: Arc::new(Semaphore::new(downstream)),
            upstream: Arc::new(Semaphore::new(upstream)),
        }
    }
}

/// A log line that is written at an interval.
struct PeriodicLog {
    interval: Duration,
    due: tokio::time::Instant,
}

impl PeriodicLog {
    fn every(interval: Duration) -> PeriodicLog {
        PeriodicLog { interval, due: tokio::time::Instant::now() }
    }

    /// Returns whether the line is due, and schedules the next one if so.
    fn is_due(&mut self) -> bool {
        let now = tokio::time::Instant::now();
        let is_due = self.due <= now;
        if is_due {
            self.due = now + self.interval;
        }
        is_due
    }
}

/// Passes events and time to the gateway, and the gateway's actions to connections.
pub struct EventLoop {
    gateway: Gateway,
    clock: Clock,
    connect_timeout: Duration,
    descriptors: DescriptorPools,
    connection_events: mpsc::Receiver<ConnectionEvent>,
    /// For the connections of viewers and of nodes. The messages of nodes have a budget of their own, so that they
    /// don't wait behind those of any number of viewers.
    downstream_events: EventSender,
    upstream_events: EventSender,
    /// Discovery updates and the start of a drain, which must not wait behind a flood of connections.
    priority_events: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    /// Viewers' connections, with the number of messages received from each.
    downstreams: BTreeMap<DownstreamId, (CommandSender, u64)>,
    upstreams: BTreeMap<UpstreamId, CommandSender>,
    /// Bytes of the lines queued for viewers.
    downstream_line_bytes: ByteBudget,
    /// Events of the next batch.
    pending_events: Vec<Event>,
    /// Ends the accepting of viewers' connections when it is dropped.
    stop_listening: Option<oneshot::Sender<()>>,
}

impl EventLoop {
    pub fn new(gateway: Gateway, clock: Clock, connect_timeout: Duration) -> EventLoop {
        let (events, received_events) = mpsc::channel(MAX_EVENTS_PER_BATCH);
        let limits = *gateway.resource_limits();
        EventLoop {
            descriptors: DescriptorPools::new(&gateway),
            gateway,
            clock,
            connect_timeout,
            connection_events: received_events,
            downstream_events: EventSender {
                events: events.clone(),
                receive_budget: ReceiveBudget::new(limits.received_bytes, limits.large_buffer_bytes),
            },
            upstream_events: EventSender {
                events,
                receive_budget: ReceiveBudget::new(limits.node_received_bytes, limits.node_received_bytes),
            },
            priority_events: mpsc::channel(PRIORITY_QUEUE_LENGTH),
            downstreams: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            downstream_line_bytes: ByteBudget::new(limits.line_bytes),
            pending_events: Vec::new(),
            stop_listening: None,
        }
    }

    /// Returns the channel for discovery updates and the start of a drain.
    pub fn priority_sender(&self) -> mpsc::Sender<Event> {
        self.priority_events.0.clone()
    }

    /// Returns the future that accepts viewers' connections on the listener. It ends when the gateway stops
    /// listening.
    pub fn accept(&mut self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let (stop, stopped) = oneshot::channel();
        self.stop_listening = Some(stop);
        let acceptor = Acceptor::new(
            self.descriptors.downstream.clone(),
            self.gateway.resource_limits().queued_lines,
            self.downstream_events.clone(),
        );
        acceptor.run(listener, stopped)
    }

    /// Runs until a drain has finished.
    pub async fn run(mut self) {
        let mut received = Vec::with_capacity(MAX_EVENTS_PER_BATCH);
        let mut state_log = PeriodicLog::every(STATE_LOG_INTERVAL);
        let mut drain_log = PeriodicLog::every(DRAIN_LOG_INTERVAL);
        loop {
            let due =
                if self.pending_events.is_empty() { self.gateway.next_deadline() } else { Instant::LONG_AGO };
            let due = self.clock.to_tokio(due);
            tokio::select! {
                biased;
                Some(event) = self.priority_events.1.recv() => self.pending_events.push(event),
                _ = self.connection_events.recv_many(&mut received, MAX_EVENTS_PER_BATCH) => {}
                () = tokio::time::sleep_until(due) => {
                    if due.elapsed() > STALL_THRESHOLD {
                        // Data that arrived during the stall is still in socket buffers. The connections read
                        // it first, so that it is processed before the overdue timers.
                        yield_now().await;
                    }
                }
                () = tokio::time::sleep_until(state_log.due) => {}
                () = tokio::time::sleep_until(drain_log.due), if self.gateway.shutdown().is_some() => {}
            }
            // Whichever event ended the wait: a flood of events must not keep the state out of the log.
            if state_log.is_due() {
                self.log_state();
            }
            if self.gateway.shutdown().is_some() && drain_log.is_due() {
                info!(open = %self.gateway.open_work(), "draining");
            }
            // Events that have arrived are processed before timers, whichever of them ended the wait.
            while let Ok(event) = self.priority_events.1.try_recv() {
                self.pending_events.push(event);
            }
            while received.len() < MAX_EVENTS_PER_BATCH
                && let Ok(event) = self.connection_events.try_recv()
            {
                received.push(event);
            }
            let mut closed = Vec::new();
            let mut received_bytes = Vec::new();
            for event in received.drain(..) {
                match event {
                    ConnectionEvent::Opened(downstream, client, sender) => {
                        let sender = CommandSender::new(sender, self.downstream_line_bytes.open_account());
                        self.downstreams.insert(downstream, (sender, 0));
                        self.pending_events.push(Event::DownstreamOpened(downstream, client));
                    }
                    ConnectionEvent::Gateway(event) => {
                        match event {
                            Event::DownstreamClosed(downstream, _) => closed.push(downstream),
                            Event::UpstreamClosed(upstream, ..) => drop(self.upstreams.remove(&upstream)),
                            _ => {}
                        }
                        self.pending_events.push(event);
                    }
                    ConnectionEvent::Message(message, bytes) => {
                        if let Event::DownstreamMessage(downstream, _) = &message
                            && let Some((_, message_count)) = self.downstreams.get_mut(downstream)
                        {
                            *message_count += 1;
                        }
                        self.pending_events.push(message);
                        received_bytes.push(bytes);
                    }
                }
            }
            for action in self.gateway.process(self.clock.now(), std::mem::take(&mut self.pending_events)) {
                self.execute(action);
            }
            drop(received_bytes);
            // Only now: the actions of this batch may have sent final lines to closed connections.
            for downstream in closed {
                self.downstreams.remove(&downstream);
            }
            if self.gateway.is_shutdown_finished(self.clock.now()) {
                info!(open = %self.gateway.open_work(), "drain finished; shutting down");
                return self.shut_down().await;
            }
            // Lets the connections' tasks run between two batches, even if more is due already.
            yield_now().await;
        }
    }

    /// Closes all connections and waits until they have written their last lines.
    async fn shut_down(self) {
        let DescriptorPools { downstream, upstream } = self.descriptors;
        let [downstream_limit, upstream_limit] = self.gateway.descriptor_limits();
        let kill = self.gateway.shutdown().map(|shutdown| self.clock.to_tokio(shutdown.earliest_kill()));
        let flush_due = tokio::time::Instant::now() + SHUTDOWN_FLUSH_TIMEOUT;
        drop((self.downstreams, self.upstreams));
        let all_closed = async {
            let _ = downstream.acquire_many(downstream_limit as u32).await;
            let _ = upstream.acquire_many(upstream_limit as u32).await;
        };
        let due = kill.map_or(flush_due, |at| flush_due.min(at - SHUTDOWN_KILL_MARGIN));
        let _ = timeout_at(due, all_closed).await;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::SendDownstream(downstream, line) => {
                let sender = self.downstreams.get(&downstream).map(|(sender, _)| sender);
                if let Err(line) = send_line(sender, line) {
                    debug!(
                        link = downstream.0,
                        "line not queued: the queue is full or the connection has ended"
                    );
                    self.downstreams.remove(&downstream);
                    self.pending_events.push(Event::DownstreamUndelivered(downstream, line));
                }
            }
            Action::SendDownstreamAfterClose(downstream, line) => {
                if let Some((connection, _)) = self.downstreams.get(&downstream) {
                    connection.send_after_close(line);
                }
            }
            Action::CloseDownstream(downstream) => drop(self.downstreams.remove(&downstream)),
            Action::CloseDownstreamIfIdle(downstream) => {
                if let Some((connection, message_count)) = self.downstreams.get(&downstream) {
                    connection.close_if_idle(*message_count);
                }
            }
            Action::ConnectUpstream(upstream, address) => {
                let (sender, commands) = mpsc::channel(self.gateway.resource_limits().queued_lines);
                // A connection that was given up in the same call has no account any more.
                if let Some(line_bytes) = self.gateway.upstream_line_account(upstream) {
                    self.upstreams.insert(upstream, CommandSender::new(sender, line_bytes));
                }
                let (descriptors, events) = (self.descriptors.upstream.clone(), self.upstream_events.clone());
                tokio::spawn(upstream::serve(
                    upstream,
                    address,
                    self.connect_timeout,
                    descriptors,
                    commands,
                    events,
                ));
            }
            Action::SendUpstream(upstream, line) => {
                if let Err(line) = send_line(self.upstreams.get(&upstream), line) {
                    debug!(
                        trunk = upstream.0,
                        "line not queued: the queue is full or the connection has ended"
                    );
                    self.upstreams.remove(&upstream);
                    self.pending_events.push(Event::UpstreamUndelivered(upstream, line));
                }
            }
            Action::StopListening => drop(self.stop_listening.take()),
            Action::CloseUpstream(upstream) => drop(self.upstreams.remove(&upstream)),
        }
    }

    fn log_state(&self) {
        let [sessions, viewers, nodes, upstreams] = self.gateway.sizes();
        let tally = self.gateway.tally().cloned().unwrap_or_default();
        let (queued_setups, request_bytes) = self.gateway.held_requests();
        info!(
            sessions,
            viewers,
            nodes,
            trunks = upstreams,
            queued_setups,
            request_bytes,
            received_bytes = self.downstream_events.receive_budget.held_bytes(),
            node_received_bytes = self.upstream_events.receive_budget.held_bytes(),
            viewer_line_bytes = self.downstream_line_bytes.used(),
            node_line_bytes = self.gateway.upstream_line_bytes().used(),
            ?tally,
            "state"
        );
    }
}

/// Queues a line on a connection. Returns the line if the queue is full or the connection has ended.
fn send_line(connection: Option<&CommandSender>, line: Bytes) -> Result<(), Bytes> {
    match connection {
        Some(connection) => connection.send_line(line),
        None => Err(line),
    }
}
