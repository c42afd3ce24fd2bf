//! Asks a node for its load: GET_PARAMETER without a session (RFC 2326, 10.8).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade_engine::{Input, LoadReport};
use ashglade_rtsp::{Packet, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, Url, headers};

use crate::attempt;
use crate::shared::Shared;

/// Tells the engine what came of a probe; the engine itself knows when it is too late.
pub async fn probe(shared: Arc<Shared>, probe: u64, node: SocketAddr) {
    let within = Duration::from_secs_f64(shared.settings.probe_timeout.as_ms() / 1e3);
    let load = tokio::time::timeout(within, ask(&shared, node)).await.ok().flatten();
    shared.core.tell(Input::ProbeResult { probe, load }).await;
}

async fn ask(shared: &Shared, node: SocketAddr) -> Option<LoadReport> {
    let mut connection = shared.pool.connect(node, shared.settings.front.connect_timeout).await.ok()?;
    let url = Url::parse(&format!("rtsp://{node}/")).ok()?;
    let mut request = messages::request(Method::GetParameter, &url, 1);
    request.insert_header(headers::CONTENT_TYPE, "text/parameters");
    let request = request.replace_body(b"link\r\nuplink\r\nstreams\r\n".to_vec());
    connection.send(Packet::Request(request)).await.ok()?;
    loop {
        if let Packet::Response(response) = connection.next().await?.ok()? {
            let load = attempt::load(&response);
            shared.pool.put(node, connection);
            return load;
        }
    }
}
