//! The live supervisor on the platform's protocol. Data flows one way: socket, codec, event, decision, order, codec,
//! socket. All but [`run`] is free of I/O and clock.

mod ages;
mod core;
mod http;
mod lines;
mod manners;
mod names;
mod shell;
mod start;
mod streams;
mod watch;
mod words;

pub use core::{Core, Effect, Way};
pub use http::{Answer, HttpError};
pub use lines::{LineError, Lines};
pub use manners::Manners;
pub use names::{Clocks, Names};
pub use shell::run;
pub use start::{Start, StartError};
pub use streams::{Impossible, Streams};
pub use words::{read, List, Said, Unread};
