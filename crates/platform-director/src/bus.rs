//! Reads the event bus: a long poll that is asked again at once whatever ends it. Nothing of an answer is taken before
//! all of it is there.

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

/// An answer may be held so long; a bus that has stopped is found out soon after.
const HOLD: Duration = Duration::from_millis(1000);
/// Beyond the time asked for, an answer is not waited for.
const GRACE: Duration = Duration::from_millis(400);
const CONNECT: Duration = Duration::from_millis(500);
/// Between attempts that came to nothing.
const PAUSE: Duration = Duration::from_millis(50);
/// The longest answer.
const MOST: usize = 4 * 1024 * 1024;

type Trouble = Box<dyn std::error::Error + Send + Sync>;

/// Follows the bus at whatever address is in force, from the event after `held`.
pub async fn follow(
    mut source: watch::Receiver<SocketAddr>,
    mut held: u64,
    names: NameTables,
    events: mpsc::Sender<Event>,
) {
    let (mut connection, mut last) = (None, None);
    loop {
        let address = *source.borrow_and_update();
        let read = tokio::select! {
            read = read(&mut connection, address, held) => read,
            changed = source.changed() => {
                if changed.is_err() {
                    return;
                }
                info!("the event bus has another address");
                connection = None;
                continue;
            }
        };
        match read {
            Ok(batch) => {
                if last.take().is_some() {
                    info!(%address, "the event bus answers again");
                }
                let missed = batch.events.last().is_some_and(|last| last.offset > held + 1);
                let news = batch.events_after(held);
                match news.last() {
                    Some(last) => {
                        held = last.offset;
                        let news =
                            news.into_iter().map(|event| event.into_discovery_update(&names)).collect();
                        if events.send(Event::DiscoveryUpdates(news)).await.is_err() {
                            return;
                        }
                    }
                    // Events were left out: asked for again.
                    None if missed => sleep(PAUSE).await,
                    None => {}
                }
            }
            Err(trouble) => {
                // Once for each trouble, not for each attempt.
                if last.as_ref() != Some(&trouble) {
                    warn!(%address, trouble, "the event bus did not answer; asked again until it does");
                }
                last = Some(trouble);
                connection = None;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn read(
    connection: &mut Option<SendRequest<Empty<Bytes>>>,
    address: SocketAddr,
    held: u64,
) -> Result<Batch, String> {
    let asked = async {
        let mut sender = match connection.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let uri = format!("/bus/read?from={held}&hold={}", HOLD.as_millis());
        let request = Request::get(uri).header(HOST, address.to_string()).body(Empty::new())?;
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        let body = Limited::new(response.into_body(), MOST).collect().await?.to_bytes();
        let batch = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&body))
            .map_err(|error| ashglade_site::describe_error(&error))?;
        *connection = Some(sender);
        Ok::<Batch, Trouble>(batch)
    };
    match timeout(HOLD + GRACE, asked).await {
        Ok(read) => read.map_err(|trouble| trouble.to_string()),
        Err(_) => Err("silent".to_string()),
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, Trouble> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!(%error, "the connection to the event bus ended");
        }
    });
    Ok(sender)
}
