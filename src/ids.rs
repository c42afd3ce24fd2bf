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
    Sess(u64);
    /// A media node: address and port, opaque.
    Node(u64);
    /// What is watched.
    Title(u64);
    /// A service group, by its place in the headend's list.
    Group(usize);
    Zone(u8);
    /// A kind of machine, by its place in the headend's list.
    Model(u8);
    /// Where a node stands among those that hold titles.
    Cell(u16);
    /// A step of the ladder of rates, from 0.
    Rung(u8);
    /// The number of a SETUP within its session, from 0.
    SetupNo(u16);
    /// A wake-up that the director asked for.
    Ticket(u32);
}
