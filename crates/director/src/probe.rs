//! Probes: asks a node for its load with GET_PARAMETER outside of a session (RFC 2326, 10.8).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade_engine::{Input, LoadReport};
use ashglade_rtsp::{Packet, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, Url, headers};

use crate::attempt;
use crate::context::DirectorContext;

/// Sends a probe and reports the result to the engine. The engine ignores a result that arrives too late.
pub async fn run(context: Arc<DirectorContext>, probe: u64, node: SocketAddr) {
    let timeout = Duration::from_secs_f64(context.settings.probe_timeout.as_ms() / 1e3);
    let load = tokio::time::timeout(timeout, request_load(&context, node)).await.ok().flatten();
    context.engine.submit(Input::ProbeResult { probe, load }).await;
}

/// Requests a node's load. Returns `None` if the connection failed or the response reports none.
async fn request_load(context: &DirectorContext, node: SocketAddr) -> Option<LoadReport> {
    let mut connection = context.pool.connect(node, context.settings.rtsp.connect_timeout).await.ok()?;
    let url = Url::parse(&format!("rtsp://{node}/")).ok()?;
    let mut request = messages::request(Method::GetParameter, &url, 1);
    request.insert_header(headers::CONTENT_TYPE, "text/parameters");
    let request = request.replace_body(b"link\r\nuplink\r\nstreams\r\n".to_vec());
    connection.send(Packet::Request(request)).await.ok()?;
    loop {
        if let Packet::Response(response) = connection.next().await?.ok()? {
            let load = attempt::load_report(&response);
            context.pool.put(node, connection);
            return load;
        }
    }
}
