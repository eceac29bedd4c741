//! A TCP relay before a front. It can drop what one agent sends and still deliver what the agent
//! is sent, as a link that is cut one way does.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

#[derive(Clone, Default)]
pub struct Relay {
    /// Node whose bytes are dropped.
    muted: Arc<Mutex<Option<String>>>,
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
                for (is_from_agent, from, to) in [(true, &near, &far), (false, &far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let (relay, name) = (serving.clone(), Arc::clone(&name));
                    thread::spawn(move || relay.copy(is_from_agent, &name, from, to));
                }
            }
        });
        Ok(relay)
    }

    /// From now on what this node sends is dropped, over open connections and new ones.
    pub fn mute(&self, node: &str) {
        *self.muted.lock().unwrap() = Some(node.to_owned());
    }

    pub fn unmute(&self) {
        *self.muted.lock().unwrap() = None;
    }

    fn copy(
        &self,
        is_from_agent: bool,
        name: &Mutex<String>,
        mut from: TcpStream,
        mut to: TcpStream,
    ) {
        let mut buffer = vec![0; 65_536];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if is_from_agent && name.lock().unwrap().is_empty() {
                // The first message names the agent.
                *name.lock().unwrap() = String::from_utf8_lossy(&buffer[..read]).into_owned();
            }
            let is_dropped = is_from_agent && self.is_muted(&name.lock().unwrap());
            if read > 0 && is_dropped {
                continue;
            }
            if read == 0 && is_dropped {
                return;
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn is_muted(&self, first_message: &str) -> bool {
        self.muted.lock().unwrap().as_ref().is_some_and(|node| first_message.contains(&**node))
    }
}
