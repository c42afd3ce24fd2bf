//! Connections, byte by byte in order. A cut holds what was sent, as a kernel that sends again would deliver it when the path
//! heals; what a side that reset its connection had still under way is dropped, as a kernel does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use ashglade_judge::What;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::{Net, Party, Said, said};

const CHUNK: usize = 16 * 1024;
/// What a lost segment costs: the least time after which a kernel sends again.
const AGAIN: Duration = Duration::from_millis(200);

/// What is out on a connection to a node.
#[derive(Default)]
struct Out {
    setup: Option<(u64, u32)>,
    answered: bool,
}

pub async fn accept(net: Arc<Net>, listener: TcpListener, from: Party, to: Party, real: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tokio::spawn(carry(net.clone(), stream, from, to, real));
    }
}

async fn carry(net: Arc<Net>, near: TcpStream, from: Party, to: Party, real: SocketAddr) {
    let _ = near.set_nodelay(true);
    // A connection that was asked for over a path that is cut comes up, if it is still wanted, when that heals.
    if net.link(from, to).cut {
        tokio::select! {
            () = net.healed(from, to) => {}
            // Its first bytes don't matter: they wait in the kernel.
            () = closed(&near) => return,
        }
    }
    let Ok(far) = TcpStream::connect(real).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = far.set_nodelay(true);
    let out = Mutex::new(Out::default());
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let there = pipe(&net, (from, to), near_in, far_out, &out);
    let back = pipe(&net, (to, from), far_in, near_out, &out);
    tokio::join!(there, back);
}

/// Until the other side of it has gone, however.
async fn closed(stream: &TcpStream) {
    let mut one = [0; 1];
    loop {
        match stream.peek(&mut one).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
        if stream.take_error().ok().flatten().is_some() {
            return;
        }
    }
}

/// One direction, to its end; then the other side is told of it, if the path lets that through.
async fn pipe(
    net: &Arc<Net>,
    (from, to): (Party, Party),
    mut reads: OwnedReadHalf,
    mut writes: OwnedWriteHalf,
    out: &Mutex<Out>,
) {
    let mut bytes = vec![0; CHUNK];
    loop {
        let read = reads.read(&mut bytes).await;
        let size = match read {
            Ok(size) if size > 0 => size,
            ended => {
                withdrawn(net, from, to, out);
                net.healed(from, to).await;
                if ended.is_err() {
                    let _ = writes.as_ref().set_zero_linger();
                }
                let _ = writes.shutdown().await;
                return;
            }
        };
        heard(net, (from, to), &bytes[..size], out).await;
        let link = net.link(from, to);
        if !link.delay.is_zero() {
            tokio::time::sleep(link.delay).await;
        }
        if link.loss > 0.0 && net.draw() < link.loss {
            tokio::time::sleep(AGAIN).await;
        }
        if link.trickle > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64((size as f64 / link.trickle).min(60.0))).await;
        }
        if net.link(from, to).cut && !held(net, (from, to), &reads, out).await {
            // Reset by its sender in the meantime: what was under way is gone.
            let _ = writes.as_ref().set_zero_linger();
            return;
        }
        if writes.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}

/// Waits with what was read until the path heals; false if its sender resets the connection before.
async fn held(net: &Arc<Net>, (from, to): (Party, Party), reads: &OwnedReadHalf, out: &Mutex<Out>) -> bool {
    let reset = async {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if reads.as_ref().take_error().ok().flatten().is_some() {
                return;
            }
            let mut one = [0; 1];
            if let Ok(Err(error)) =
                tokio::time::timeout(Duration::from_millis(1), reads.as_ref().peek(&mut one)).await
                && error.kind() != std::io::ErrorKind::WouldBlock
            {
                return;
            }
        }
    };
    tokio::select! {
        () = net.healed(from, to) => true,
        () = reset => {
            withdrawn(net, from, to, out);
            false
        }
    }
}

/// Tells faults that wait for it what passes.
async fn heard(net: &Arc<Net>, (from, to): (Party, Party), bytes: &[u8], out: &Mutex<Out>) {
    let said = {
        let mut out = out.lock().unwrap_or_else(|broken| broken.into_inner());
        match (from, to) {
            (Party::Director(_), Party::Node(_)) => {
                let said = said::request(bytes);
                if said == Some(Said::Setup)
                    && let Some(viewer) = said::viewer(bytes)
                {
                    *out = Out { setup: Some(viewer), answered: false };
                }
                said
            }
            (Party::Node(_), Party::Director(_)) if out.setup.is_some() && !out.answered => {
                out.answered = bytes.starts_with(b"RTSP/1.0 ");
                out.answered.then_some(Said::Answer)
            }
            (Party::Viewers, _) => said::request(bytes),
            _ => None,
        }
    };
    if let Some(said) = said {
        net.passing(said, from, to).await;
    }
}

/// The director's side of a connection has ended with a SETUP out on it: it is given up, whatever its node knows.
fn withdrawn(net: &Net, from: Party, to: Party, out: &Mutex<Out>) {
    let out = out.lock().unwrap_or_else(|broken| broken.into_inner());
    if let (Party::Director(_), Party::Node(node), Some((viewer, again)), false) =
        (from, to, out.setup, out.answered)
    {
        net.log.saw(What::Withdrawn { node: format!("node-{node}"), viewer, again });
    }
}
