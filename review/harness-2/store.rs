//! The platform's store: items, watches, transactions and leases, always up.

use super::{
    http::{self, Reply, Request},
    json::{Json, quote},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time that the store takes for an answer, as the sheets give it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Key, revision and the item, or `None` for a deletion.
    events: Vec<(String, u64, Option<Item>)>,
    rev: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((key.to_owned(), self.rev, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((key.to_owned(), self.rev, None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.rev += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

#[derive(Clone)]
pub struct Store {
    /// The same store under two addresses, so that it can turn one class of machines away.
    pub for_fronts: SocketAddr,
    pub for_sides: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    rejects_fronts: Arc<AtomicBool>,
}

impl Store {
    pub fn start(for_fronts: TcpListener, for_sides: TcpListener) -> Self {
        let store = Self {
            for_fronts: for_fronts.local_addr().unwrap(),
            for_sides: for_sides.local_addr().unwrap(),
            shared: Arc::default(),
            rejects_fronts: Arc::default(),
        };
        let serving = store.clone();
        http::serve(for_fronts, move |request| {
            thread::sleep(ANSWER_TIME);
            if serving.rejects_fronts.load(Ordering::Relaxed) {
                return Reply::json(503, "{}".into());
            }
            let reply = serving.answer(&request);
            // A watch that waited is turned away, too.
            if serving.rejects_fronts.load(Ordering::Relaxed) {
                return Reply::json(503, "{}".into());
            }
            reply
        });
        let serving = store.clone();
        http::serve(for_sides, move |request| {
            thread::sleep(ANSWER_TIME);
            serving.answer(&request)
        });
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                leases.change(|state| {
                    let now = Instant::now();
                    let over = state.leases.iter().filter(|(_, (_, until))| *until <= now);
                    let over: Vec<_> = over.map(|(lease, _)| *lease).collect();
                    over.into_iter().for_each(|lease| state.end_lease(lease));
                });
            }
        });
        store
    }

    /// Writes as the operator.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| {
            state.rev += 1;
            state.put(key, encode(value.as_bytes()), 0);
        });
    }

    /// Turns all fronts away with 503, or serves them again. Others are served all the while.
    pub fn reject_fronts(&self, rejects: bool) {
        self.rejects_fronts.store(rejects, Ordering::Relaxed);
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let done = change(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
        done
    }

    fn answer(&self, request: &Request) -> Option<Reply> {
        match (&*request.method, &*request.path) {
            ("GET", "/kv-key") => {
                self.change(|state| match state.items.get(request.query("key")) {
                    Some(item) => Reply::json(200, item_text(request.query("key"), item)),
                    None => Reply::json(404, "{}".into()),
                })
            }
            ("GET", "/kv-range") => self.change(|state| {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(prefix) && &***key > after);
                let items: Vec<_> = items.map(|(key, item)| item_text(key, item)).collect();
                let items = items.join(",");
                let rev = state.rev;
                Reply::json(200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{rev}}}"))
            }),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&Json::parse(&request.body)?),
            ("POST", "/kv-lease") => {
                let ttl_ms = Json::parse(&request.body)?.get("ttl_ms").whole()?.max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let lease = self.change(|state| {
                    state.last_lease += 1;
                    state.leases.insert(state.last_lease, (ttl, Instant::now() + ttl));
                    state.last_lease
                });
                Reply::json(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            (_, path) => {
                let (verb, lease) = path.rsplit_once('/')?;
                let lease: u64 = lease.parse().ok()?;
                let found = self.change(|state| match verb {
                    "/kv-keep" => state.leases.get_mut(&lease).map(|(ttl, until)| {
                        *until = Instant::now() + *ttl;
                    }),
                    _ => Some(state.end_lease(lease)),
                });
                Reply::json(if found.is_some() { 200 } else { 404 }, "{}".into())
            }
        }
    }

    fn watch(&self, request: &Request) -> Option<Reply> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().ok()?;
        let wait = Duration::from_millis(request.query("wait_ms").parse().ok()?);
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|(key, rev, _)| *rev > after && key.starts_with(prefix));
            let events = events.map(|(key, rev, item)| match item {
                Some(item) => item_text(key, item),
                None => format!("{{\"key\":{},\"rev\":{rev},\"deleted\":true}}", quote(key)),
            });
            let events: Vec<_> = events.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return Reply::json(200, format!("{{\"events\":[{events}],\"at\":{}}}", state.rev));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> Option<Reply> {
        self.change(|state| {
            let expected = body.get("expected").list();
            let holds = expected.iter().all(|row| {
                let found = state.items.get(row.get("key").text()).map_or(0, |item| item.rev);
                Some(found) == row.get("rev").whole()
            });
            if !holds {
                let items = expected.iter().filter_map(|row| {
                    let key = row.get("key").text();
                    Some(item_text(key, state.items.get(key)?))
                });
                let items = items.collect::<Vec<_>>().join(",");
                return Reply::json(412, format!("{{\"items\":[{items}]}}"));
            }
            let set = body.get("set_keys").list();
            let lease_of = |row: &Json| row.get("lease").whole().unwrap_or(0);
            let leased = set.iter().map(lease_of).filter(|lease| *lease > 0);
            if leased.into_iter().any(|lease| !state.leases.contains_key(&lease)) {
                return Reply::json(404, "{}".into());
            }
            state.rev += 1;
            for row in set {
                state.put(row.get("key").text(), row.get("value").text().into(), lease_of(row));
            }
            for key in body.get("remove").list() {
                state.remove(key.text());
            }
            Reply::json(200, format!("{{\"rev\":{}}}", state.rev))
        })
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"rev\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.rev,
        item.created,
        item.lease
    )
}

/// Base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
