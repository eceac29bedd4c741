//! Transfer of copies in parts: one at a time, from whoever holds the newest, without loss.

use {
    proptest::prelude::*,
    sycamorerail_decide::copies::{CopyFetch, FetchLimits, MAX_PART_BYTES, part},
    sycamorerail_wire::runs::{ConfigurationCopy, CopyPartRequest},
};

const LIMITS: FetchLimits =
    FetchLimits { part_timeout_ms: 1_000, head_start_ms: 500, pause_factor: 0 };
const PEERS: usize = 4;

/// A copy of about so many parts whose text differs by revision. Its characters have two bytes
/// and begin at odd offsets, so that the ends of parts fall within them.
fn copy(revision: u64, parts: usize) -> ConfigurationCopy {
    let character = char::from_u32(0x100 + u32::try_from(revision).unwrap()).unwrap();
    let rest = std::iter::repeat_n(character, parts * MAX_PART_BYTES / 2);
    let value = std::iter::once('-').chain(rest).collect();
    ConfigurationCopy { revision, value }
}

/// Requests parts from a peer until none is due, and hands them in.
fn fetch_from(
    fetch: &mut CopyFetch<usize>,
    peer: usize,
    held: &ConfigurationCopy,
    now_ms: u64,
) -> Option<ConfigurationCopy> {
    while let Some(request) = fetch.request(peer, now_ms) {
        if let Some(complete) = fetch.handle_part(peer, &part(held, request), now_ms) {
            return Some(complete);
        }
    }
    None
}

#[test]
fn one_part_is_requested_however_many_peers_hold_the_copy() {
    let mut fetch = CopyFetch::new(LIMITS);
    for peer in 0..PEERS {
        fetch.add_source(peer, 7, 0);
    }
    let requests: Vec<_> = (0..PEERS).filter_map(|peer| fetch.request(peer, 0)).collect();
    assert_eq!(requests, [CopyPartRequest { revision: 7, offset: 0 }]);
}

#[test]
fn parts_end_between_characters() {
    let held = copy(7, 3);
    let request = CopyPartRequest { revision: 7, offset: 0 };
    assert_eq!(part(&held, request).text.len(), MAX_PART_BYTES - 1);
    let mut fetch = CopyFetch::new(LIMITS);
    fetch.add_source(0, 7, 0);
    assert_eq!(fetch_from(&mut fetch, 0, &held, 0), Some(held));
}

#[test]
fn a_copy_goes_on_with_another_peer_where_a_lost_one_left_off() {
    let held = copy(7, 5);
    let mut fetch = CopyFetch::new(LIMITS);
    fetch.add_source(0, 7, 0);
    fetch.add_source(1, 7, 0);
    let request = fetch.request(0, 0).unwrap();
    assert_eq!(fetch.handle_part(0, &part(&held, request), 0), None);
    fetch.remove_source(0);
    let next = fetch.request(1, 0).unwrap();
    assert!(next.offset > 0);
    assert_eq!(fetch.handle_part(1, &part(&held, next), 0), None);
    assert_eq!(fetch_from(&mut fetch, 1, &held, 0), Some(held));
}

#[test]
fn a_peer_that_sends_nothing_is_asked_last() {
    let mut fetch = CopyFetch::new(LIMITS);
    fetch.add_source(0, 7, 0);
    fetch.add_source(1, 7, 0);
    assert!(fetch.request(0, 0).is_some());
    assert_eq!(fetch.request(1, LIMITS.part_timeout_ms - 1), None);
    assert!(fetch.request(1, LIMITS.part_timeout_ms).is_some());
}

#[test]
fn a_begun_copy_is_given_up_if_its_peer_sends_no_more() {
    let mut fetch = CopyFetch::new(LIMITS);
    fetch.add_source(0, 7, 0);
    let request = fetch.request(0, 0).unwrap();
    fetch.handle_part(0, &part(&copy(7, 3), request), 0);
    assert!(fetch.request(0, 0).is_some());
    fetch.add_source(1, 8, 0);
    assert_eq!(fetch.request(1, LIMITS.part_timeout_ms).unwrap().revision, 8);
}

#[test]
fn a_receiver_with_an_older_copy_waits_for_it_from_elsewhere() {
    let mut fetch = CopyFetch::new(LIMITS);
    fetch.set_held(5);
    fetch.add_source(0, 7, 100);
    assert_eq!(fetch.request(0, 599), None);
    assert!(fetch.request(0, 600).is_some());
    fetch.set_held(7);
    assert_eq!(fetch.next_request_ms(0), None);
}

#[test]
fn pauses_grow_with_the_time_that_a_part_takes() {
    let mut fetch = CopyFetch::new(FetchLimits { pause_factor: 4, ..LIMITS });
    let held = copy(7, 3);
    fetch.add_source(0, 7, 0);
    let request = fetch.request(0, 0).unwrap();
    fetch.handle_part(0, &part(&held, request), 30);
    assert_eq!(fetch.next_request_ms(0), Some(150));
    assert_eq!(fetch.request(0, 149), None);
    assert!(fetch.request(0, 150).is_some());
}

#[test]
fn a_peer_that_holds_less_than_it_said_is_not_asked_again() {
    let mut fetch = CopyFetch::new(LIMITS);
    fetch.add_source(0, 7, 0);
    let request = fetch.request(0, 0).unwrap();
    assert_eq!(fetch.handle_part(0, &part(&copy(0, 0), request), 0), None);
    assert_eq!(fetch.next_request_ms(0), None);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A peer takes over a later revision and says so.
    Renew(usize),
    /// A connection ends, and what was requested on it is lost.
    Reconnect(usize),
    /// A peer starts again with an older copy.
    Restart(usize),
    /// So much time passes.
    Wait(u64),
    /// Each peer is asked if it is its turn.
    Request,
    /// A request is answered; the number picks one.
    Answer(usize),
    /// A request is never answered.
    Lose(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let peer = 0..PEERS;
    prop_oneof![
        1 => peer.clone().prop_map(Step::Renew),
        1 => peer.clone().prop_map(Step::Reconnect),
        1 => peer.prop_map(Step::Restart),
        2 => (1_u64..1_500).prop_map(Step::Wait),
        8 => Just(Step::Request),
        8 => (0_usize..8).prop_map(Step::Answer),
        1 => (0_usize..8).prop_map(Step::Lose),
    ]
}

/// Peers with their revisions, and requests on their way.
struct World {
    fetch: CopyFetch<usize>,
    revisions: [u64; PEERS],
    newest: u64,
    on_the_way: Vec<(usize, CopyPartRequest)>,
    held: u64,
    now_ms: u64,
}

impl World {
    fn new() -> Self {
        let fetch = CopyFetch::new(LIMITS);
        let (revisions, on_the_way) = ([0; PEERS], Vec::new());
        Self { fetch, revisions, newest: 0, on_the_way, held: 0, now_ms: 0 }
    }

    fn say(&mut self, peer: usize) {
        self.fetch.add_source(peer, self.revisions[peer], self.now_ms);
    }

    fn request(&mut self) {
        let (fetch, now_ms) = (&mut self.fetch, self.now_ms);
        let asked: Vec<_> =
            (0..PEERS).filter_map(|peer| Some((peer, fetch.request(peer, now_ms)?))).collect();
        assert!(asked.len() <= 1, "{asked:?}");
        self.on_the_way.extend(asked);
    }

    fn reconnect(&mut self, peer: usize) {
        self.on_the_way.retain(|(asked, _)| *asked != peer);
        self.fetch.remove_source(peer);
        self.say(peer);
    }

    fn answer(&mut self, index: usize) {
        if index >= self.on_the_way.len() {
            return;
        }
        let (peer, request) = self.on_the_way.remove(index);
        let held = copy(self.revisions[peer], 3);
        let part = part(&held, request);
        if let Some(complete) = self.fetch.handle_part(peer, &part, self.now_ms) {
            assert_eq!(complete, copy(complete.revision, 3));
            assert!(complete.revision > self.held);
            self.held = complete.revision;
            self.fetch.set_held(complete.revision);
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Renew(peer) => {
                self.newest += 1;
                self.revisions[peer] = self.newest;
                self.say(peer);
            }
            Step::Reconnect(peer) => self.reconnect(peer),
            Step::Restart(peer) => {
                self.revisions[peer] = self.revisions[peer].saturating_sub(1);
                self.reconnect(peer);
            }
            Step::Wait(ms) => self.now_ms += ms,
            Step::Request => self.request(),
            Step::Answer(index) => self.answer(index),
            Step::Lose(index) => {
                if index < self.on_the_way.len() {
                    self.on_the_way.remove(index);
                }
            }
        }
    }
}

proptest! {
    /// Whatever happens before, the newest copy that a peer holds is whole within bounded
    /// requests once peers answer, and no copy is made up of several.
    #[test]
    fn the_newest_copy_arrives_whole(steps in prop::collection::vec(step(), 0..200)) {
        let mut world = World::new();
        for step in steps {
            world.take(step);
        }
        let newest = world.revisions.into_iter().max().unwrap();
        for _ in 0..40 {
            world.now_ms += LIMITS.part_timeout_ms;
            world.request();
            while !world.on_the_way.is_empty() {
                world.answer(0);
                world.request();
            }
        }
        prop_assert!(world.held >= newest, "held {}, newest {newest}", world.held);
    }
}
