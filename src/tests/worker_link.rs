//! Direct commands over real sockets.
//!
//! What happens: a process stands still after it has checked that it may act, and goes on when
//! its connection to the worker is closed and another leads. Why: a connection idle for 0.8 s
//! was looked at before its use, and where it was found closed the command went out over a new
//! one, made after the check, with up to 0.6 s more for connecting. What showed it: the test
//! below, in which the worker's side took a request on the second connection.

use super::*;
use crate::closing_listener::ClosingListener;

fn commands_to(addr: SocketAddr) -> WorkerCall {
    let commands = DirectCommands { fencing_token: 1, agent_epoch: 1, commands: Vec::new() };
    WorkerCall { op: OpId(1), addr, commands }
}

/// The process stands still between the check and the bytes, and its connection is closed
/// meanwhile: nothing is sent over another one.
#[test]
fn a_command_goes_out_only_over_the_connection_made_before_the_check() {
    let worker = ClosingListener::new(1);
    let stands_still = |_| {
        worker.stand_still();
        true
    };
    let result = call(&commands_to(worker.addr), stands_still);
    assert_eq!(result, DirectResult::NotSent);
    assert_eq!(worker.requests(), 0, "a command went out");
}

/// A process that may act sends its command; one that may not, sends none.
#[test]
fn a_command_goes_out_if_it_may() {
    let worker = ClosingListener::new(0);
    assert_eq!(call(&commands_to(worker.addr), |_| false), DirectResult::NotSent);
    let worker = ClosingListener::new(0);
    // Refused by the stand-in as malformed, which says that it came.
    assert_eq!(call(&commands_to(worker.addr), |_| true), DirectResult::NotSent);
    assert_eq!(worker.requests(), 1);
}
