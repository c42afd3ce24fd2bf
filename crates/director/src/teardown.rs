//! Pending tear-downs of sessions that ended without the node's confirmation, each on its own connection.

use std::sync::Arc;

use ashglade_ledger::{Teardown, TeardownOutcome};
use ashglade_rtsp::{Packet, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};

use crate::context::DirectorContext;
use crate::engine_handle::{EngineMessage, LedgerUpdate};

/// Attempts a pending tear-down and reports its outcome to the ledger.
pub async fn run(context: Arc<DirectorContext>, teardown: Teardown) {
    let timeout = context.settings.rtsp.answer_timeout;
    let confirmed =
        tokio::time::timeout(timeout, send_teardown(&context, &teardown)).await.ok().flatten().is_some();
    let outcome = if confirmed { TeardownOutcome::Confirmed } else { TeardownOutcome::Failed };
    context
        .engine
        .send(EngineMessage::UpdateLedger(LedgerUpdate::TeardownFinished(teardown.session, outcome)))
        .await;
}

/// Sends TEARDOWN. Returns `Some` if the response is that the session is ended or unknown.
async fn send_teardown(context: &DirectorContext, teardown: &Teardown) -> Option<()> {
    let address = teardown.held.address;
    let mut connection = context.pool.connect(address, context.settings.rtsp.connect_timeout).await.ok()?;
    let url = Url::parse(&teardown.held.url).ok()?;
    let mut request = messages::request(Method::Teardown, &url, 1);
    request.insert_header(headers::SESSION, teardown.held.session.as_str());
    connection.send(Packet::Request(request)).await.ok()?;
    loop {
        if let Packet::Response(response) = connection.next().await?.ok()? {
            let confirmed = matches!(response.status(), StatusCode::Ok | StatusCode::SessionNotFound);
            context.pool.put(address, connection);
            return confirmed.then_some(());
        }
    }
}
