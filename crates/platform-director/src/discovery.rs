//! Client of the event bus, from which node discovery is read by long polling. A new poll starts as soon as
//! the last one has ended, for whatever reason. A reply is used only once it has been received completely.

use std::net::SocketAddr;
use std::time::Duration;

use ashglade_platform::Event;
use ashglade_platform::bus::Batch;
use ashglade_site::NameTables;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

/// Time for which the bus may hold a poll open. A bus that has stopped is detected soon after this time.
const POLL_HOLD: Duration = Duration::from_millis(1000);
/// Time beyond [`POLL_HOLD`] after which a poll has failed.
const POLL_GRACE: Duration = Duration::from_millis(400);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a poll that follows a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

type PollError = Box<dyn std::error::Error + Send + Sync>;

/// Polls the bus for events after `last_offset` and passes them on to `events`. `address_updates` holds the
/// current address of the bus; a change ends the poll that is in progress.
pub async fn follow(
    mut address_updates: watch::Receiver<SocketAddr>,
    mut last_offset: u64,
    names: NameTables,
    events: mpsc::Sender<Event>,
) {
    let (mut connection, mut last_error) = (None, None);
    loop {
        let address = *address_updates.borrow_and_update();
        let result = tokio::select! {
            result = poll(&mut connection, address, last_offset) => result,
            changed = address_updates.changed() => {
                if changed.is_err() {
                    return;
                }
                info!("event bus address changed; reconnecting");
                connection = None;
                continue;
            }
        };
        match result {
            Ok(batch) => {
                if last_error.take().is_some() {
                    info!(%address, "event bus responds again");
                }
                let has_gap = batch.events.last().is_some_and(|last| last.offset > last_offset + 1);
                let new_events = batch.events_after(last_offset);
                match new_events.last() {
                    Some(last) => {
                        last_offset = last.offset;
                        let updates =
                            new_events.into_iter().map(|event| event.into_discovery_update(&names)).collect();
                        if events.send(Event::DiscoveryUpdates(updates)).await.is_err() {
                            return;
                        }
                    }
                    // The reply leaves out the next events: poll for them again.
                    None if has_gap => sleep(RETRY_DELAY).await,
                    None => {}
                }
            }
            Err(error) => {
                // Consecutive failures with the same error are logged once.
                if last_error.as_ref() != Some(&error) {
                    warn!(%address, trouble = error, "event bus poll failed; retrying");
                }
                last_error = Some(error);
                connection = None;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Polls once for the events after `last_offset`, on the open connection if there is one.
async fn poll(
    connection: &mut Option<SendRequest<Empty<Bytes>>>,
    address: SocketAddr,
    last_offset: u64,
) -> Result<Batch, String> {
    let request_batch = async {
        let mut sender = match connection.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let uri = format!("/bus/read?from={last_offset}&hold={}", POLL_HOLD.as_millis());
        let request = Request::get(uri).header(HOST, address.to_string()).body(Empty::new())?;
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await?.to_bytes();
        let batch = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&body))
            .map_err(|error| ashglade_site::describe_error(&error))?;
        *connection = Some(sender);
        Ok::<Batch, PollError>(batch)
    };
    match timeout(POLL_HOLD + POLL_GRACE, request_batch).await {
        Ok(result) => result.map_err(|error| error.to_string()),
        Err(_) => Err("no complete reply before the poll timeout".to_string()),
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, PollError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!(%error, "event bus connection failed");
        }
    });
    Ok(sender)
}
