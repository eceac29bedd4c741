//! The JSON form of etcd's version 3 API, of which range, transaction, lease
//! and watch are used.

use {
    crate::{
        form::{Call, Form, Method, Page, Read, ReadError, Reply, Told, WatchMode, read_success},
        json::{
            Compare, DeleteRequest, End, GrantRequest, Int, KeepAliveRequest, LeaseResponse,
            Operation, PutRequest, RangeRequest, RangeResponse, Streamed, Text, TxnRequest,
            TxnResponse, WatchCreate, WatchEvent, WatchEventKind, WatchRequest, WatchResponse,
        },
        table::Change,
        value::{Expected, KeyValue, LeaseId, Swap},
    },
    serde::Serialize,
};

const RANGE_PATH: &str = "/v3/kv/range";
const TXN_PATH: &str = "/v3/kv/txn";
const GRANT_PATH: &str = "/v3/lease/grant";
const KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
const WATCH_PATH: &str = "/v3/watch";

/// The form of etcd.
#[derive(Clone, Copy, Debug)]
pub struct EtcdForm;

impl Form for EtcdForm {
    fn range(&self, prefix: &str, after: Option<&str>, with_values: bool) -> Call {
        // The least key after another is that one and a zero byte.
        let key = after.map_or_else(|| first_key(prefix), |after| Text(format!("{after}\0")));
        let range_end = Some(End::of(prefix));
        post(RANGE_PATH, &RangeRequest { key, range_end, keys_only: !with_values })
    }

    fn read_range(&self, reply: &Reply) -> Read<Page> {
        let answer: RangeResponse = read_success(reply)?;
        let items: Vec<_> = answer.kvs.into_iter().map(KeyValue::from).collect();
        let last_key = items.last().map(|item: &KeyValue| item.key.clone());
        Ok(Page { mark: answer.header.revision.0, items, last_key, has_more: false })
    }

    fn get(&self, key: &str) -> Call {
        post(RANGE_PATH, &RangeRequest { key: text(key), ..RangeRequest::default() })
    }

    fn read_get(&self, reply: &Reply) -> Read<Option<KeyValue>> {
        let answer: RangeResponse = read_success(reply)?;
        Ok(answer.kvs.into_iter().next().map(KeyValue::from))
    }

    fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: &str,
        lease: Option<LeaseId>,
        absent: &[&str],
    ) -> Call {
        let own = match expected {
            Expected::Absent => Compare::absent(key),
            Expected::Modified(revision) => Compare::modified(key, revision),
        };
        let guards = absent.iter().map(|guard| Compare::absent(guard));
        let compare = std::iter::once(own).chain(guards).collect();
        let lease = Int(lease.map_or(0, |lease| lease.0));
        let put = Operation::Put(PutRequest { key: text(key), value: text(value), lease });
        transaction(key, compare, put)
    }

    fn delete(&self, key: &str, modified: u64) -> Call {
        let compare = vec![Compare::modified(key, modified)];
        transaction(key, compare, Operation::Delete(DeleteRequest { key: text(key) }))
    }

    fn read_swap(&self, _key: &str, reply: &Reply) -> Read<Swap> {
        let answer: TxnResponse = read_success(reply)?;
        if answer.succeeded {
            return Ok(Swap::Done { mark: answer.header.revision.0 });
        }
        let ranges = answer.responses.into_iter().filter_map(|response| response.response_range);
        let current = ranges.flat_map(|range| range.kvs).next().map(KeyValue::from);
        Ok(Swap::Lost { current })
    }

    /// The service counts in whole seconds: the time is rounded up.
    fn grant(&self, ttl_ms: u32) -> Call {
        post(GRANT_PATH, &GrantRequest { ttl_s: Int(u64::from(ttl_ms.div_ceil(1_000).max(1))) })
    }

    fn read_grant(&self, reply: &Reply) -> Read<LeaseId> {
        let answer: LeaseResponse = read_success(reply)?;
        Ok(LeaseId(answer.id.0))
    }

    fn keep_alive(&self, lease: LeaseId) -> Call {
        post(KEEP_ALIVE_PATH, &KeepAliveRequest { id: Int(lease.0) })
    }

    fn read_keep_alive(&self, reply: &Reply) -> Read<bool> {
        let answer: Streamed<LeaseResponse> = read_success(reply)?;
        Ok(answer.result.ttl_s.0 > 0)
    }

    fn watch_mode(&self) -> WatchMode {
        WatchMode::Stream
    }

    fn watch(&self, prefix: &str, start_revision: u64) -> Call {
        let create_request = WatchCreate {
            key: first_key(prefix),
            range_end: End::of(prefix),
            start_revision: Int(start_revision),
            progress_notify: true,
        };
        post(WATCH_PATH, &WatchRequest { create_request })
    }

    fn read_watch(&self, reply: &Reply) -> Read<Option<Told>> {
        let streamed: Streamed<WatchResponse> = read_success(reply)?;
        let told = streamed.result;
        if told.compact_revision.0 > 0 {
            return Ok(Some(Told::Compacted));
        }
        if told.canceled {
            return Err(ReadError::Malformed("the watch was cancelled".to_owned()));
        }
        if !told.events.is_empty() {
            return Ok(Some(Told::Changes(told.events.into_iter().map(change).collect())));
        }
        // The first answer tells the platform's revision, but not that the
        // history up to it was sent.
        let progress = !told.created && told.header.revision.0 > 0;
        Ok(progress.then_some(Told::Progress(told.header.revision.0)))
    }
}

fn transaction(key: &str, compare: Vec<Compare>, success: Operation) -> Call {
    let read_back = RangeRequest { key: text(key), ..RangeRequest::default() };
    let failure = vec![Operation::Range(read_back)];
    post(TXN_PATH, &TxnRequest { compare, success: vec![success], failure })
}

fn post(path: &str, body: &impl Serialize) -> Call {
    let body = serde_json::to_vec(body).expect("bodies are plain structs with text keys");
    Call { method: Method::Post, path: path.to_owned(), query: Vec::new(), body: Some(body) }
}

fn change(event: WatchEvent) -> Change {
    match event.kind {
        WatchEventKind::Put => Change::Put(KeyValue::from(event.kv)),
        WatchEventKind::Delete => {
            Change::Delete { key: event.kv.key.0, revision: event.kv.mod_revision.0 }
        }
    }
}

fn text(key: &str) -> Text {
    Text(key.to_owned())
}

/// The first key of a prefix. The service has no empty key: `\0` is the least.
fn first_key(prefix: &str) -> Text {
    text(if prefix.is_empty() { "\0" } else { prefix })
}
