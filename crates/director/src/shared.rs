//! What the tasks of fronts and nodes' connections share.

use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use ashglade::ids::{GroupId, Rung, SessionId};
use ashglade_clock::Clock;
use ashglade_engine::ViewerRequest;
use ashglade_rtsp::digest::Users;
use ashglade_settings::{Settings, Title};
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use siphasher::sip::SipHasher13;
use tokio::sync::watch;

use crate::orders::Core;
use crate::pool::Pool;

/// What every task may need.
pub struct Shared {
    pub core: Core,
    pub clock: Clock,
    pub pool: Pool,
    /// Connections to nodes for HLS.
    pub http: Client<HttpConnector, Empty<Bytes>>,
    pub settings: Settings,
    /// Set when the director drains.
    pub draining: watch::Sender<bool>,
    pub users: Option<Arc<Users>>,
    pub next_sess: AtomicU64,
    pub random: Mutex<oorandom::Rand64>,
}

impl Shared {
    /// A number that no other session has, also not of the director before this one.
    pub fn new_sess(&self) -> SessionId {
        SessionId(self.next_sess.fetch_add(1, Ordering::Relaxed))
    }

    /// What a viewer asks for, by either front. Clients and tenants are told by the query elements that settings name;
    /// who names no client is its address.
    pub fn want(
        &self,
        title: &Title,
        group: GroupId,
        top: u8,
        element: impl Fn(&str) -> Option<String>,
        peer: impl FnOnce() -> String,
    ) -> ViewerRequest {
        let settings = &self.settings;
        let door = settings.door.as_ref();
        let client = door.and_then(|door| door.client_query.as_deref()).and_then(&element);
        let tenant = door.and_then(|door| door.tenant_query.as_deref()).and_then(&element);
        let mut hasher = SipHasher13::new();
        client.unwrap_or_else(peer).hash(&mut hasher);
        ViewerRequest {
            group,
            title: ashglade::ids::TitleId(title.id),
            top_rung: Rung(top.min(settings.top_rung())),
            first_cell: title.home,
            cell_count: title.copies,
            setup_timeout: settings.setup_timeouts[group.0],
            tenant: settings.tenant(tenant.as_deref()),
            client: hasher.finish(),
        }
    }

    /// For names of sessions and SSRCs, which only have to differ.
    pub fn random(&self) -> u64 {
        self.random.lock().unwrap_or_else(|broken| broken.into_inner()).rand_u64()
    }
}
