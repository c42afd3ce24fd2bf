//! Datagrams from one director to another.

use std::sync::Arc;
use std::time::Duration;

use super::{Net, Party, said};

const LONGEST: usize = 64 * 1024;

/// Carries what the one says to the other: it is heard where the one finds the other, and comes from where the other finds
/// the one.
pub async fn carry(net: Arc<Net>, from: usize, to: usize) {
    let (hears, says) = (net.paths[from][to].clone(), net.paths[to][from].clone());
    let (source, target) = (net.talks[from], net.talks[to]);
    let parties = (Party::Director(from as u16), Party::Director(to as u16));
    let mut bytes = vec![0; LONGEST];
    loop {
        // An error tells that the other's port was closed when it was last sent to.
        let Ok((size, sender)) = hears.recv_from(&mut bytes).await else { continue };
        if sender != source {
            continue;
        }
        let datagram = net.codec.as_ref().and_then(|codec| codec.decode(&bytes[..size]).ok());
        if let Some(datagram) = &datagram {
            net.passing(said::datagram(datagram), parties.0, parties.1).await;
        }
        let link = net.link(parties.0, parties.1);
        let passes = !link.cut && (link.loss <= 0.0 || net.draw() >= link.loss);
        if let Some(sight) = datagram.as_ref().and_then(|datagram| said::sight(datagram, passes)) {
            net.log.saw(sight);
        }
        if !passes {
            continue;
        }
        let copies = if link.double > 0.0 && net.draw() < link.double { 2 } else { 1 };
        for _ in 0..copies {
            let chance = if link.reorder.is_zero() { 0.0 } else { net.draw() };
            let wait = link.delay + Duration::from_secs_f64(link.reorder.as_secs_f64() * chance);
            if wait.is_zero() {
                let _ = says.send_to(&bytes[..size], target).await;
            } else {
                let (says, bytes) = (says.clone(), bytes[..size].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    let _ = says.send_to(&bytes, target).await;
                });
            }
        }
    }
}
