//! Requests of the state service over HTTP, and what their answers mean.

use crate::http::{CallError, Client};
use crate::limits::{STORE_TIME, TOUCH_TIME};
use marblebarrow_core::consts::PAGE_LIMIT;
use marblebarrow_core::event::{StoreRequest, StoreResult};
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::{GrantAsk, GrantGiven, TxnAnswer};

/// Makes a request of the state service and reads its answer.
pub fn store_call(client: &mut Client, req: &StoreRequest) -> StoreResult {
    let answer = match req {
        StoreRequest::Commit(txn) => client.call("POST", "/commit", &cbor::encode(txn), STORE_TIME),
        StoreRequest::Get(key) => client.call("GET", &format!("/store/{key}"), &[], STORE_TIME),
        StoreRequest::Range { prefix, after } => {
            let mut path = format!("/store?under={prefix}&limit={PAGE_LIMIT}");
            if !after.is_empty() {
                path += &format!("&after={after}");
            }
            client.call("GET", &path, &[], STORE_TIME)
        }
        StoreRequest::Grant(ttl_ms) => {
            let body = cbor::encode(&GrantAsk { ttl_ms: *ttl_ms });
            client.call("POST", "/grants", &body, TOUCH_TIME)
        }
        StoreRequest::Touch(grant) => {
            client.call("POST", &format!("/grants/{grant}/touch"), &[], TOUCH_TIME)
        }
        StoreRequest::Revoke(grant) => {
            client.call("DELETE", &format!("/grants/{grant}"), &[], TOUCH_TIME)
        }
    };
    let (status, body) = match answer {
        Ok(a) => a,
        Err(CallError::NotSent) => return StoreResult::Refused,
        Err(CallError::Unknown | CallError::Unreadable) => return StoreResult::Unknown,
    };
    match (req, status) {
        (_, 429 | 503) => StoreResult::Refused,
        (StoreRequest::Commit(_), 200) => cbor::decode::<TxnAnswer>(&body)
            .map_or(StoreResult::Unknown, |a| StoreResult::Committed(a.revision)),
        (StoreRequest::Commit(_), 409) => cbor::decode::<TxnAnswer>(&body)
            .map_or(StoreResult::Unknown, |a| StoreResult::Conflict(a.failed)),
        (StoreRequest::Get(_), 200) => {
            cbor::decode(&body).map_or(StoreResult::Unknown, |i| StoreResult::Value(Some(i)))
        }
        (StoreRequest::Get(_), 404) => StoreResult::Value(None),
        (StoreRequest::Range { .. }, 200) => {
            cbor::decode(&body).map_or(StoreResult::Unknown, StoreResult::Page)
        }
        (StoreRequest::Grant(_), 200) => cbor::decode::<GrantGiven>(&body)
            .map_or(StoreResult::Unknown, |g| StoreResult::Granted(g.grant)),
        (StoreRequest::Touch(_) | StoreRequest::Revoke(_), 404) => StoreResult::NoGrant,
        (StoreRequest::Touch(_) | StoreRequest::Revoke(_), 200..=299) => StoreResult::Touched,
        (_, 400..=499) => StoreResult::Rejected,
        _ => StoreResult::Unknown,
    }
}
