//! A TCP relay before a front, whose links can be cut: of all nodes or of one, one way or both.
//!
//! As with a link that is cut, what is sent meanwhile arrives when the cut has healed, unless its
//! sender has closed the connection by then.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Time between two looks at whether a cut has healed.
const LOOK: Duration = Duration::from_millis(2);

#[derive(Clone, Debug)]
pub struct Cut {
    /// The node whose links are cut; all nodes if empty.
    pub node: String,
    /// What the front sends is held up, too.
    pub both_ways: bool,
}

#[derive(Clone, Default)]
pub struct Relay {
    cut: Arc<Mutex<Option<Cut>>>,
}

impl Relay {
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Relay> {
        let relay = Relay::default();
        let listener = TcpListener::bind(from)?;
        let serving = relay.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let name = Arc::new(Mutex::new(String::new()));
                for (is_from_node, from, to) in [(true, &near, &far), (false, &far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let (relay, name) = (serving.clone(), Arc::clone(&name));
                    thread::spawn(move || {
                        let _ = relay.copy(is_from_node, &name, &from, &to);
                        let _ = to.shutdown(Shutdown::Both);
                        let _ = from.shutdown(Shutdown::Both);
                    });
                }
            }
        });
        Ok(relay)
    }

    pub fn cut(&self, cut: Cut) {
        *self.cut.lock().unwrap() = Some(cut);
    }

    pub fn heal(&self) {
        *self.cut.lock().unwrap() = None;
    }

    fn copy(
        &self,
        is_from_node: bool,
        name: &Mutex<String>,
        mut from: &TcpStream,
        mut to: &TcpStream,
    ) -> io::Result<()> {
        from.set_read_timeout(Some(LOOK))?;
        let mut buffer = vec![0; 65_536];
        let mut held = Vec::new();
        loop {
            match from.read(&mut buffer) {
                // What is held up is lost with its connection.
                Ok(0) => return Ok(()),
                Ok(read) => held.extend_from_slice(&buffer[..read]),
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
            if is_from_node && name.lock().unwrap().is_empty() {
                // The first message names the node.
                *name.lock().unwrap() = String::from_utf8_lossy(&held).into_owned();
            }
            if !held.is_empty() && !self.is_held_up(is_from_node, &name.lock().unwrap()) {
                to.write_all(&held)?;
                held.clear();
            }
        }
    }

    fn is_held_up(&self, is_from_node: bool, first_message: &str) -> bool {
        let cut = self.cut.lock().unwrap();
        cut.as_ref()
            .is_some_and(|cut| (is_from_node || cut.both_ways) && first_message.contains(&cut.node))
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
