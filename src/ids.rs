//! Each kind of id is a type of its own, so that none can stand in for another.

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
    /// One request for a session, and the session that comes of it.
    SessionId(u64);
    /// A media node: address and port, opaque.
    NodeId(u64);
    /// What is watched.
    TitleId(u64);
    /// A service group, by its place in the headend's list.
    GroupId(usize);
    ZoneId(u8);
    /// A kind of machine, by its place in the headend's list.
    ModelId(u8);
    /// Where a node stands among those that hold titles.
    CellId(u16);
    /// A step of the ladder of rates, from 0.
    Rung(u8);
    /// The number of a SETUP within its session, from 0.
    SetupNumber(u16);
    /// A wake-up that the director asked for.
    TimerId(u32);
}

/// An even draw from 0 to 1 that is the same at all directors.
pub fn spread(title: u64, node: u64) -> f64 {
    let mut x = title ^ node.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    ((x ^ (x >> 32)) >> 11) as f64 / (1u64 << 53) as f64
}
