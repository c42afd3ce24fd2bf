//! TCP relays. While a path is cut, data is held back and delivered when the path heals, as TCP
//! retransmission would. Data in flight from a side that reset its connection is dropped, as a kernel does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use ashglade_judge::EventKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::{MessageKind, Network, Party, classify};

/// Size of the read buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;
/// Delay of a lost segment: the minimum retransmission timeout of the Linux kernel.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// The SETUP in flight on a connection to a node.
#[derive(Default)]
struct SetupInFlight {
    /// Viewer and attempt of the last SETUP.
    viewer: Option<(u64, u32)>,
    /// Whether the node has replied to it.
    replied: bool,
}

/// Accepts connections of a relay and carries each of them.
pub async fn accept(net: Arc<Network>, listener: TcpListener, from: Party, to: Party, target: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tokio::spawn(relay_connection(net.clone(), stream, from, to, target));
    }
}

/// Connects to the target and relays both directions.
async fn relay_connection(net: Arc<Network>, client: TcpStream, from: Party, to: Party, target: SocketAddr) {
    let _ = client.set_nodelay(true);
    // A connection attempt over a cut path succeeds when the path heals, unless it was abandoned before.
    if net.link_state(from, to).cut {
        tokio::select! {
            () = net.wait_until_healed(from, to) => {}
            // Bytes that already arrived stay in the kernel's receive buffer.
            () = wait_until_closed(&client) => return,
        }
    }
    let Ok(server) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = server.set_nodelay(true);
    let in_flight = Mutex::new(SetupInFlight::default());
    let ((client_reader, client_writer), (server_reader, server_writer)) =
        (client.into_split(), server.into_split());
    let forward = relay_direction(&net, (from, to), client_reader, server_writer, &in_flight);
    let backward = relay_direction(&net, (to, from), server_reader, client_writer, &in_flight);
    tokio::join!(forward, backward);
}

/// Waits until the remote side closes or resets the connection.
async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0; 1];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
        if stream.take_error().ok().flatten().is_some() {
            return;
        }
    }
}

/// Relays one direction until it ends, then passes the close or reset on once the path is not cut.
async fn relay_direction(
    net: &Arc<Network>,
    (from, to): (Party, Party),
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    in_flight: &Mutex<SetupInFlight>,
) {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let read = reader.read(&mut bytes).await;
        let size = match read {
            Ok(size) if size > 0 => size,
            end => {
                report_cancelled(net, from, to, in_flight);
                net.wait_until_healed(from, to).await;
                if end.is_err() {
                    let _ = writer.as_ref().set_zero_linger();
                }
                let _ = writer.shutdown().await;
                return;
            }
        };
        observe(net, (from, to), &bytes[..size], in_flight).await;
        let link = net.link_state(from, to);
        if !link.delay.is_zero() {
            tokio::time::sleep(link.delay).await;
        }
        if link.loss > 0.0 && net.random_fraction() < link.loss {
            tokio::time::sleep(RETRANSMIT_TIMEOUT).await;
        }
        if link.bytes_per_second > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64((size as f64 / link.bytes_per_second).min(60.0)))
                .await;
        }
        if net.link_state(from, to).cut && !hold_until_healed(net, (from, to), &reader, in_flight).await {
            // The sender reset the connection in the meantime: data in flight is lost.
            let _ = writer.as_ref().set_zero_linger();
            return;
        }
        if writer.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}

/// Waits until the path heals; returns false if the sender resets the connection first.
async fn hold_until_healed(
    net: &Arc<Network>,
    (from, to): (Party, Party),
    reader: &OwnedReadHalf,
    in_flight: &Mutex<SetupInFlight>,
) -> bool {
    let reset = async {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if reader.as_ref().take_error().ok().flatten().is_some() {
                return;
            }
            let mut byte = [0; 1];
            if let Ok(Err(error)) =
                tokio::time::timeout(Duration::from_millis(1), reader.as_ref().peek(&mut byte)).await
                && error.kind() != std::io::ErrorKind::WouldBlock
            {
                return;
            }
        }
    };
    tokio::select! {
        () = net.wait_until_healed(from, to) => true,
        () = reset => {
            report_cancelled(net, from, to, in_flight);
            false
        }
    }
}

/// Classifies data that is about to pass and starts the faults that wait for it.
async fn observe(
    net: &Arc<Network>,
    (from, to): (Party, Party),
    bytes: &[u8],
    in_flight: &Mutex<SetupInFlight>,
) {
    let kind = {
        let mut in_flight = in_flight.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match (from, to) {
            (Party::Director(_), Party::Node(_)) => {
                let kind = classify::request_kind(bytes);
                if kind == Some(MessageKind::Setup)
                    && let Some(viewer) = classify::viewer_attempt(bytes)
                {
                    *in_flight = SetupInFlight { viewer: Some(viewer), replied: false };
                }
                kind
            }
            (Party::Node(_), Party::Director(_)) if in_flight.viewer.is_some() && !in_flight.replied => {
                in_flight.replied = bytes.starts_with(b"RTSP/1.0 ");
                in_flight.replied.then_some(MessageKind::Answer)
            }
            (Party::Viewers, _) => classify::request_kind(bytes),
            _ => None,
        }
    };
    if let Some(kind) = kind {
        net.before_message(kind, from, to).await;
    }
}

/// Reports a SETUP as cancelled if the director closed its connection before the reply, whether or not the
/// node has received that.
fn report_cancelled(net: &Network, from: Party, to: Party, in_flight: &Mutex<SetupInFlight>) {
    let in_flight = in_flight.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    if let (Party::Director(_), Party::Node(node), Some((viewer, attempt)), false) =
        (from, to, in_flight.viewer, in_flight.replied)
    {
        net.log.record(EventKind::SetupCancelled { node: format!("node-{node}"), viewer, attempt });
    }
}
