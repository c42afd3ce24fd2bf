//! Tear-downs that are owed, each on a connection of its own.

use std::sync::Arc;

use ashglade_ledger::{Teardown, TeardownOutcome};
use ashglade_rtsp::{Packet, messages};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};

use crate::orders::{Command, Page};
use crate::shared::Shared;

/// Tries one and tells what came of it.
pub async fn call(shared: Arc<Shared>, call: Teardown) {
    let within = shared.settings.front.answer_timeout;
    let ended = tokio::time::timeout(within, ask(&shared, &call)).await.ok().flatten().is_some();
    let outcome = if ended { TeardownOutcome::Confirmed } else { TeardownOutcome::Failed };
    shared.core.send(Command::Page(Page::Told(call.session, outcome))).await;
}

async fn ask(shared: &Shared, call: &Teardown) -> Option<()> {
    let address = call.held.address;
    let mut connection = shared.pool.connect(address, shared.settings.front.connect_timeout).await.ok()?;
    let url = Url::parse(&call.held.url).ok()?;
    let mut request = messages::request(Method::Teardown, &url, 1);
    request.insert_header(headers::SESSION, call.held.session.as_str());
    connection.send(Packet::Request(request)).await.ok()?;
    loop {
        if let Packet::Response(response) = connection.next().await?.ok()? {
            let gone = matches!(response.status(), StatusCode::Ok | StatusCode::SessionNotFound);
            shared.pool.put(address, connection);
            return gone.then_some(());
        }
    }
}
