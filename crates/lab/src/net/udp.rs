//! UDP relays between directors.

use std::sync::Arc;
use std::time::Duration;

use super::{Network, Party, classify};

/// Upper limit of the size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Relays datagrams in one direction. They are received at the socket where the sender reaches the receiver,
/// and sent from the socket where the receiver reaches the sender, as each director checks the source address
/// of its peers.
pub async fn relay_datagrams(net: Arc<Network>, from: usize, to: usize) {
    let (receive_socket, send_socket) =
        (net.peer_relays[from][to].clone(), net.peer_relays[to][from].clone());
    let (source, target) = (net.peer_addresses[from], net.peer_addresses[to]);
    let parties = (Party::Director(from as u16), Party::Director(to as u16));
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error reports that the peer's port was closed at an earlier send.
        let Ok((size, sender)) = receive_socket.recv_from(&mut bytes).await else { continue };
        if sender != source {
            continue;
        }
        let datagram = net.codec.as_ref().and_then(|codec| codec.decode(&bytes[..size]).ok());
        if let Some(datagram) = &datagram {
            net.before_message(classify::datagram_kind(datagram), parties.0, parties.1).await;
        }
        let link = net.link_state(parties.0, parties.1);
        let delivered = !link.cut && (link.loss <= 0.0 || net.random_fraction() >= link.loss);
        if let Some(event) = datagram.as_ref().and_then(|datagram| classify::judge_event(datagram, delivered))
        {
            net.log.record(event);
        }
        if !delivered {
            continue;
        }
        let copies = if link.duplicate > 0.0 && net.random_fraction() < link.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let fraction = if link.reorder.is_zero() { 0.0 } else { net.random_fraction() };
            let delay = link.delay + Duration::from_secs_f64(link.reorder.as_secs_f64() * fraction);
            if delay.is_zero() {
                let _ = send_socket.send_to(&bytes[..size], target).await;
            } else {
                let (send_socket, bytes) = (send_socket.clone(), bytes[..size].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = send_socket.send_to(&bytes, target).await;
                });
            }
        }
    }
}
