//! Load balancing decisions of a director: which sessions are admitted, on which media node, and at which
//! rung of the bit rate ladder. Start reading at [`policy`].

pub mod ids;
pub mod interface;
pub mod policy;
pub mod shutdown;
pub mod state;
pub mod time;
