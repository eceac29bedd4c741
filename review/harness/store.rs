//! Stand-in of the platform's store, with linearizable answers and leases.

use super::{
    http::{self, Answer, Request},
    json::{Json, num, obj, text},
    record::Record,
};
use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes in order: key and, unless it was removed, the item.
    events: Vec<(u64, String, Option<Item>)>,
    rev: u64,
    leases: HashMap<u64, (u64, Instant)>,
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: Record) -> io::Result<Store> {
        let store = Store { state: Arc::default(), record };
        let serving = store.clone();
        http::serve(address, move |request| {
            // One call takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            serving.answer(&request)
        })?;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes as the operator does; the change is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.set(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
        drop(state);
        self.record.line(&format!("operator writes {key}: {value}"));
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let over: Vec<_> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            state.end_lease(lease);
        }
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let id = request.path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        let words: Vec<_> = request.path.split('/').collect();
        match words.get(1).copied().unwrap_or_default() {
            "kv-key" => {
                let state = self.state.0.lock().unwrap();
                match state.items.get(&query("key")) {
                    Some(item) => Some((200, row(&query("key"), item).to_string())),
                    None => Some((404, "{}".to_owned())),
                }
            }
            "kv-range" => Some((200, self.range(&query("prefix"), &query("after")).to_string())),
            "kv-watch" => {
                let after = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                Some((200, self.watch(&query("prefix"), after, wait).to_string()))
            }
            "kv-txn" => Some(self.transact(&body)),
            "kv-lease" => {
                let ttl_ms = body.get("ttl_ms").u64().unwrap_or(1_000).max(1_000);
                let mut state = self.state.0.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                let until = Instant::now() + Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl_ms, until));
                let granted = obj([("lease", num(lease)), ("ttl_ms", num(ttl_ms))]);
                Some((200, granted.to_string()))
            }
            "kv-keep" => {
                let mut state = self.state.0.lock().unwrap();
                match id.and_then(|id| state.leases.get_mut(&id)) {
                    Some((ttl_ms, until)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl_ms);
                        Some((200, obj([("ttl_ms", num(*ttl_ms))]).to_string()))
                    }
                    None => Some((404, "{}".to_owned())),
                }
            }
            "kv-lease-end" => {
                let mut state = self.state.0.lock().unwrap();
                id.inspect(|id| state.end_lease(*id));
                self.state.1.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((400, "{}".to_owned())),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Json {
        let state = self.state.0.lock().unwrap();
        let found =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let rows = found.map(|(key, item)| row(key, item)).collect();
        obj([("items", Json::Arr(rows)), ("has_more", Json::Bool(false)), ("at", num(state.rev))])
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Json {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<Json> = state
                .events
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(prefix))
                .map(|(rev, key, item)| match item {
                    Some(item) => row(key, item),
                    None => {
                        obj([("key", text(key)), ("rev", num(*rev)), ("deleted", Json::Bool(true))])
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return obj([("events", Json::Arr(events)), ("at", num(state.rev))]);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let expected = body.get("expected").arr();
        let key_of = |row: &Json| row.get("key").str().unwrap_or_default().to_owned();
        let holds = expected.iter().all(|row| {
            let rev = state.items.get(&key_of(row)).map_or(0, |item| item.rev);
            row.get("rev").u64() == Some(rev)
        });
        if !holds {
            let rows = expected.iter().filter_map(|expected| {
                let key = key_of(expected);
                state.items.get(&key).map(|item| row(&key, item))
            });
            return (412, obj([("items", Json::Arr(rows.collect()))]).to_string());
        }
        let sets = body.get("set_keys").arr();
        let lease_of = |row: &Json| row.get("lease").u64().unwrap_or(0);
        if sets.iter().any(|row| lease_of(row) > 0 && !state.leases.contains_key(&lease_of(row))) {
            return (404, "{}".to_owned());
        }
        state.rev += 1;
        for set in sets {
            let value = set.get("value").str().unwrap_or_default().to_owned();
            state.set(&key_of(set), value, lease_of(set));
        }
        for key in body.get("remove").arr() {
            state.remove(key.str().unwrap_or_default());
        }
        self.state.1.notify_all();
        (200, obj([("rev", num(state.rev))]).to_string())
    }
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created, lease };
        self.events.push((rev, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn row(key: &str, item: &Item) -> Json {
    obj([
        ("key", text(key)),
        ("value", text(&item.value)),
        ("rev", num(item.rev)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            let is_padding = index > chunk.len();
            out.push(if is_padding { '=' } else { char::from(DIGITS[digit as usize]) });
        }
    }
    out
}
