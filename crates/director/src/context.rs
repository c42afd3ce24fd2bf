//! State shared by the tasks of a director.

use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use ashglade::ids::{GroupId, Rung, SessionId};
use ashglade_clock::Clock;
use ashglade_engine::ViewerRequest;
use ashglade_rtsp::digest::Credentials;
use ashglade_settings::{Settings, Title};
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use siphasher::sip::SipHasher13;
use tokio::sync::watch;

use crate::engine_handle::EngineHandle;
use crate::pool::ConnectionPool;

/// State that every task can reach: the engine's handle, connection pools, settings and identifiers.
pub struct DirectorContext {
    pub engine: EngineHandle,
    pub clock: Clock,
    /// RTSP connections to nodes.
    pub pool: ConnectionPool,
    /// HTTP client with pooled connections to nodes, for HLS.
    pub http_client: Client<HttpConnector, Empty<Bytes>>,
    pub settings: Settings,
    /// True once the director drains.
    pub draining: watch::Sender<bool>,
    /// Users of RTSP digest authentication, if it is required.
    pub users: Option<Arc<Credentials>>,
    /// Starts above the identifiers of an earlier run, see [`DirectorContext::new_session_id`].
    pub next_session_id: AtomicU64,
    /// Random generator of [`DirectorContext::random`].
    pub random: Mutex<oorandom::Rand64>,
}

impl DirectorContext {
    /// Returns an identifier that no other session has, including those of earlier runs.
    pub fn new_session_id(&self) -> SessionId {
        SessionId(self.next_session_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Builds the engine's request for a viewer of either front. The client and the tenant are read from the
    /// query parameters named in the settings; a request without a client parameter is attributed to the
    /// peer's address.
    pub fn viewer_request(
        &self,
        title: &Title,
        group: GroupId,
        top_rung: u8,
        query_value: impl Fn(&str) -> Option<String>,
        peer: impl FnOnce() -> String,
    ) -> ViewerRequest {
        let settings = &self.settings;
        let admission = settings.admission.as_ref();
        let client = admission.and_then(|admission| admission.client_query.as_deref()).and_then(&query_value);
        let tenant = admission.and_then(|admission| admission.tenant_query.as_deref()).and_then(&query_value);
        let mut hasher = SipHasher13::new();
        client.unwrap_or_else(peer).hash(&mut hasher);
        ViewerRequest {
            group,
            title: ashglade::ids::TitleId(title.id),
            top_rung: Rung(top_rung.min(settings.top_rung())),
            first_cell: title.first_cell,
            cell_count: title.cell_count,
            setup_timeout: settings.setup_timeouts[group.0],
            tenant: settings.tenant_index(tenant.as_deref()),
            client: hasher.finish(),
        }
    }

    /// Returns a random number for RTSP session identifiers, nonces and SSRCs.
    pub fn random(&self) -> u64 {
        self.random.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).rand_u64()
    }
}
