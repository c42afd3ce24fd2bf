//! UDP transport between directors. It carries the messages of `ashglade_shared`, which decides on their
//! content, and passes the resulting limits and suspected nodes to the engine.
//!
//! Each datagram is authenticated, of bounded size and numbered. Datagrams that are forged, truncated,
//! replayed, of another format version or from another address than their sender's are discarded.

pub mod codec;
pub mod guard;
mod run;
mod teller;
mod terms;
mod view;

pub use ashglade_shared::Defect;
pub use run::{Engine, Started, run};
pub use teller::Teller;
pub use terms::{LOOK, REPEATS, repeats_span, terms, under_way};
pub use view::{Seen, View};
