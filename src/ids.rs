//! Identifiers. Each kind is a type of its own, so that the compiler rejects one used in place of another.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($raw:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $raw);
    )*};
}

ids! {
    /// A viewer's request for a session, and the session that results from it.
    SessionId(u64);
    /// A media node; an opaque number derived from its address and port.
    NodeId(u64);
    /// A title that viewers can watch.
    TitleId(u64);
    /// A service group, as an index into
    /// [`DirectorConfig::groups`](crate::interface::DirectorConfig::groups).
    GroupId(usize);
    /// An availability zone.
    ZoneId(u8);
    /// A hardware model of media nodes, as an index into
    /// [`DirectorConfig::max_streams`](crate::interface::DirectorConfig::max_streams).
    ModelId(u8);
    /// A placement cell: titles are stored on the nodes of a run of consecutive cells.
    CellId(u16);
    /// A step of the bit rate ladder; 0 is the lowest.
    Rung(u8);
    /// The number of a SETUP attempt within its session, from 0.
    SetupNumber(u16);
    /// A timer that the director has set.
    TimerId(u32);
}

/// Returns a hash of a title and a node that is uniform in [0, 1) and equal at all directors.
pub fn uniform_hash(title: u64, node: u64) -> f64 {
    let mut x = title ^ node.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    ((x ^ (x >> 32)) >> 11) as f64 / (1u64 << 53) as f64
}
