//! A rocket server that can refuse connections for a while and come back at
//! the same address.

use {
    parking_lot::Mutex,
    rocket::{
        Build, Config, Rocket, Shutdown,
        config::{LogLevel, Shutdown as ShutdownConfig},
        data::{Limits, ToByteUnit},
        fairing::AdHoc,
        http::{Header, Status},
        response::{self, Responder, Response},
    },
    std::{collections::HashSet, io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpSocket, TcpStream},
        sync::oneshot,
        time::sleep,
    },
};

/// Largest body taken.
const MAX_BODY_MEBIBYTES: u64 = 64;
/// Pause between looks whether the address changed its state.
const LOOK_MS: u64 = 1;
/// Tries to listen again at an address whose listener is still closing.
const LISTEN_TRIES: u32 = 1_000;

/// Makes the routes and the state of a server.
pub(crate) type Mount = Box<dyn Fn(Rocket<Build>) -> Rocket<Build> + Send + Sync>;

/// A server at one address.
pub(crate) struct Server {
    address: SocketAddr,
    mount: Mount,
    running: Mutex<Option<Shutdown>>,
    // Bound but not listening: keeps the port while connections are refused.
    _reserved: TcpSocket,
}

impl Server {
    pub(crate) async fn start(address: SocketAddr, mount: Mount) -> io::Result<Self> {
        let reserved = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        reserved.set_reuseaddr(true)?;
        reserved.bind(address)?;
        let address = reserved.local_addr()?;
        let server = Self { address, mount, running: Mutex::new(None), _reserved: reserved };
        server.serve().await?;
        Ok(server)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens, if it does not already.
    pub(crate) async fn serve(&self) -> io::Result<()> {
        if self.running.lock().is_some() {
            return Ok(());
        }
        let mut tried = 0;
        let shutdown = loop {
            match self.launch().await {
                Ok(shutdown) => break shutdown,
                Err(error) if tried == LISTEN_TRIES => return Err(error),
                Err(_) => sleep(Duration::from_millis(LOOK_MS)).await,
            }
            tried += 1;
        };
        *self.running.lock() = Some(shutdown);
        Ok(())
    }

    /// Closes all connections and refuses new ones from now on.
    pub(crate) async fn refuse(&self) {
        let Some(shutdown) = self.running.lock().take() else { return };
        shutdown.notify();
        while TcpStream::connect(self.address).await.is_ok() {
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    async fn launch(&self) -> io::Result<Shutdown> {
        let (lifted, liftoff) = oneshot::channel();
        let lifted = Mutex::new(Some(lifted));
        let tell = AdHoc::on_liftoff("tell", move |_| {
            let lifted = lifted.lock().take();
            Box::pin(async move {
                let _ = lifted.map(|lifted| lifted.send(()));
            })
        });
        let rocket = (self.mount)(rocket::custom(config(self.address))).attach(tell);
        let rocket = rocket.ignite().await.map_err(|error| other(&error))?;
        let shutdown = rocket.shutdown();
        let mut launch = tokio::spawn(async move {
            // Looking at the error keeps its destructor from panicking.
            rocket.launch().await.map(drop).map_err(|error| other(&error))
        });
        tokio::select! {
            _ = liftoff => Ok(shutdown),
            ended = &mut launch => match ended {
                Ok(Err(error)) => Err(error),
                _ => Err(io::Error::other("the server ended at once")),
            },
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(shutdown) = self.running.lock().take() {
            shutdown.notify();
        }
    }
}

fn other(error: &rocket::Error) -> io::Error {
    io::Error::other(error.kind().to_string())
}

fn config(address: SocketAddr) -> Config {
    let limit = MAX_BODY_MEBIBYTES.mebibytes();
    Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        limits: Limits::default().limit("bytes", limit).limit("json", limit),
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace: 0,
            mercy: 0,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}

/// Closes the connection without an answer.
pub(crate) struct Dropped;

impl<'r> Responder<'r, 'static> for Dropped {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> response::Result<'static> {
        // A header that can't be written makes the server give up the
        // connection before the first byte of the answer.
        let unwritable = Header::new("dropped", "\n");
        Response::build().status(Status::InternalServerError).header(unwritable).ok()
    }
}
