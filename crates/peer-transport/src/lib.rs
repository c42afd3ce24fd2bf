//! What directors tell each other, on sockets: the shell around `ashglade_shared`, which decides what is said and what
//! follows. Each datagram is signed, bounded and counted; what is forged, cut, told twice, of another version or from another
//! address than its sender's is passed over.

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
