//! HTTP/1.1 over plain sockets: connections, message heads, server and client.

mod client;
mod connection;
mod error;
mod parse;
mod server;

pub use client::{Client, ClientResponse};
pub use connection::Connection;
pub use error::{CallError, ReadError};
pub use server::{Request, ResponseHead, encode_response};
