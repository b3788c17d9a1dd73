//! Requests to the key-value store over HTTP, and the interpretation of their answers.

use crate::http::{CallError, Client, ClientResponse};
use crate::limits::{STORE_LEASE_TIMEOUT, STORE_TIMEOUT};
use marblebarrow_core::consts::PAGE_LIMIT;
use marblebarrow_core::event::{StoreRequest, StoreResult};
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::{LeaseRequest, LeaseResponse, TxnAnswer};

/// Makes a request to the store and interprets its answer.
pub fn store_call(client: &mut Client, request: &StoreRequest) -> StoreResult {
    match send(client, request) {
        Ok(response) => read_response(request, &response),
        Err(CallError::NotSent) => StoreResult::Refused,
        Err(CallError::Unknown | CallError::Unreadable) => StoreResult::Unknown,
    }
}

fn send(client: &mut Client, request: &StoreRequest) -> Result<ClientResponse, CallError> {
    match request {
        StoreRequest::Commit(txn) => {
            client.call("POST", "/commit", &cbor::encode(txn), STORE_TIMEOUT)
        }
        StoreRequest::Get(key) => client.call("GET", &format!("/store/{key}"), &[], STORE_TIMEOUT),
        StoreRequest::Range { prefix, after } => {
            client.call("GET", &range_path(prefix, after), &[], STORE_TIMEOUT)
        }
        StoreRequest::GrantLease(ttl_ms) => {
            let body = cbor::encode(&LeaseRequest { ttl_ms: *ttl_ms });
            client.call("POST", "/grants", &body, STORE_LEASE_TIMEOUT)
        }
        StoreRequest::KeepAlive(lease) => {
            client.call("POST", &format!("/grants/{lease}/touch"), &[], STORE_LEASE_TIMEOUT)
        }
        StoreRequest::RevokeLease(lease) => {
            client.call("DELETE", &format!("/grants/{lease}"), &[], STORE_LEASE_TIMEOUT)
        }
    }
}

fn range_path(prefix: &str, after: &str) -> String {
    let first_page = format!("/store?under={prefix}&limit={PAGE_LIMIT}");
    if after.is_empty() { first_page } else { format!("{first_page}&after={after}") }
}

fn read_response(request: &StoreRequest, response: &ClientResponse) -> StoreResult {
    let body = &response.body;
    match (request, response.status) {
        (_, 429 | 503) => StoreResult::Refused,
        (StoreRequest::Commit(_), 200) => cbor::decode::<TxnAnswer>(body)
            .map_or(StoreResult::Unknown, |answer| StoreResult::Committed(answer.revision)),
        (StoreRequest::Commit(_), 409) => cbor::decode::<TxnAnswer>(body)
            .map_or(StoreResult::Unknown, |answer| StoreResult::Conflict(answer.failed)),
        (StoreRequest::Get(_), 200) => {
            cbor::decode(body).map_or(StoreResult::Unknown, |item| StoreResult::Value(Some(item)))
        }
        (StoreRequest::Get(_), 404) => StoreResult::Value(None),
        (StoreRequest::Range { .. }, 200) => {
            cbor::decode(body).map_or(StoreResult::Unknown, StoreResult::Page)
        }
        (StoreRequest::GrantLease(_), 200) => cbor::decode::<LeaseResponse>(body)
            .map_or(StoreResult::Unknown, |given| StoreResult::LeaseGranted(given.lease)),
        (StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_), 404) => StoreResult::NoLease,
        (StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_), 200..=299) => {
            StoreResult::LeaseRenewed
        }
        (_, 400..=499) => StoreResult::Rejected,
        _ => StoreResult::Unknown,
    }
}
