//! Direct commands to workers, over real sockets.
//!
//! Guards against commands sent after the authority check has become invalid. A process is paused
//! after the check and resumes when its connection to the worker is closed and another controller
//! leads. A connection idle for 0.8 s is checked before its use, and if it was found closed, the
//! command was sent over a new one, opened after the authority check, with up to 0.6 s more for
//! connecting. The first test reproduced this: the worker received a request on the second
//! connection.

use super::*;
use crate::closing_listener::ClosingListener;

fn commands_to(addr: SocketAddr) -> WorkerCall {
    let commands = DirectCommands { fencing_token: 1, agent_epoch: 1, commands: Vec::new() };
    WorkerCall { op: OpId(1), addr, commands }
}

/// The process is paused between the check and the write, and its connection is closed meanwhile:
/// nothing is sent over another connection.
#[test]
fn command_is_sent_only_over_the_connection_opened_before_the_check() {
    let worker = ClosingListener::new(1);
    let stalled_check = |_| {
        worker.wait_until_stale();
        true
    };
    let result = call(&commands_to(worker.addr), stalled_check);
    assert_eq!(result, DirectResult::NotSent);
    assert_eq!(worker.requests(), 0, "a command was sent");
}

/// A command is sent if the authority check permits it, and not otherwise.
#[test]
fn command_is_sent_only_if_permitted() {
    let worker = ClosingListener::new(0);
    assert_eq!(call(&commands_to(worker.addr), |_| false), DirectResult::NotSent);
    let worker = ClosingListener::new(0);
    // The test server rejects it as malformed, which shows that it arrived.
    assert_eq!(call(&commands_to(worker.addr), |_| true), DirectResult::NotSent);
    assert_eq!(worker.requests(), 1);
}
