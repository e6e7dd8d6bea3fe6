//! One module per mode: the side process, which works with `fescuewalk entry`, and the agent, which
//! works with `fescuewalk gateway` on the users' platform.

pub mod agent;
pub mod side;
