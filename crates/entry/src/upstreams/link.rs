//! The connection of one run of an agent, over breaks.

use {
    std::time::Duration,
    tokio::{sync::watch, time::timeout},
};

/// The connection of one run of an agent.
#[derive(Clone, Debug)]
pub enum Link {
    /// Connected.
    Up(quinn::Connection),
    /// Not connected; the run may come back.
    Down,
    /// Another run has taken the agent's name: this one is gone for good.
    Gone,
}

/// What waiting for a connection came to.
#[derive(Clone, Debug)]
pub(super) enum Waited {
    Up(quinn::Connection),
    Gone,
    TimedOut,
}

/// Waits for a connection other than the broken one.
pub(super) async fn wait_up(
    link: &mut watch::Receiver<Link>,
    broken: Option<usize>,
    within: Duration,
) -> Waited {
    let found = timeout(within, link.wait_for(|link| is_news(link, broken))).await;
    match found {
        Ok(Ok(link)) => match &*link {
            Link::Up(connection) => Waited::Up(connection.clone()),
            Link::Down | Link::Gone => Waited::Gone,
        },
        // The sender is dropped with the agent.
        Ok(Err(_)) => Waited::Gone,
        Err(_) => Waited::TimedOut,
    }
}

fn is_news(link: &Link, broken: Option<usize>) -> bool {
    match link {
        Link::Up(connection) => Some(connection.stable_id()) != broken,
        Link::Down => false,
        Link::Gone => true,
    }
}
