//! Orders of faults, the same form for all stand-ins.

use {
    crate::server::Server,
    serde::{Deserialize, Serialize},
    std::{
        io,
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::{
        sync::{Mutex, mpsc, watch},
        time::sleep,
    },
};

/// Time for the answer to an order by HTTP to leave before the order is obeyed.
const ORDER_DELAY_MS: u64 = 20;

/// Replaces all faults. As JSON: `{"refuse": true, "for_ms": 2000}` or
/// `{"faults": {"freeze": true}}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder<F> {
    /// Faults of the stand-in's kind.
    pub faults: F,
    /// Closes all connections and refuses new ones.
    pub refuse: bool,
    /// All faults end after this time. By HTTP, `refuse` needs it.
    pub for_ms: Option<u32>,
}

/// Obeys orders at one stand-in.
pub(crate) struct Control<F> {
    board: Arc<watch::Sender<F>>,
    server: Server,
    /// Number of the last order. A timer that belongs to an older one is void.
    turn: Mutex<u64>,
}

impl<F: Clone + Default + Send + Sync + 'static> Control<F> {
    /// Obeys orders from `orders` until dropped.
    pub(crate) fn start(
        board: Arc<watch::Sender<F>>,
        server: Server,
        orders: mpsc::UnboundedReceiver<FaultOrder<F>>,
    ) -> Arc<Self> {
        let control = Arc::new(Self { board, server, turn: Mutex::new(0) });
        tokio::spawn(obey(Arc::downgrade(&control), orders));
        control
    }

    pub(crate) fn server(&self) -> &Server {
        &self.server
    }

    /// Obeys an order; it is in force on return.
    pub(crate) async fn apply(self: &Arc<Self>, order: FaultOrder<F>) -> io::Result<()> {
        let mut turn = self.turn.lock().await;
        *turn += 1;
        self.put_in_force(&order).await?;
        if let Some(for_ms) = order.for_ms {
            tokio::spawn(lift(Arc::downgrade(self), *turn, for_ms));
        }
        Ok(())
    }

    async fn put_in_force(&self, order: &FaultOrder<F>) -> io::Result<()> {
        self.board.send_replace(order.faults.clone());
        if order.refuse {
            self.server.refuse().await;
            return Ok(());
        }
        self.server.serve().await
    }

    /// Stops for good.
    pub(crate) async fn stop(&self) {
        *self.turn.lock().await += 1;
        self.server.refuse().await;
    }
}

async fn obey<F: Clone + Default + Send + Sync + 'static>(
    control: Weak<Control<F>>,
    mut orders: mpsc::UnboundedReceiver<FaultOrder<F>>,
) {
    while let Some(order) = orders.recv().await {
        sleep(Duration::from_millis(ORDER_DELAY_MS)).await;
        let Some(control) = control.upgrade() else { return };
        if let Err(error) = control.apply(order).await {
            sycamorerail_telemetry::event!(Error, "fault_order_failed", error = error);
        }
    }
}

async fn lift<F: Clone + Default + Send + Sync + 'static>(
    control: Weak<Control<F>>,
    turn: u64,
    for_ms: u32,
) {
    sleep(Duration::from_millis(u64::from(for_ms))).await;
    let Some(control) = control.upgrade() else { return };
    let present = control.turn.lock().await;
    if *present != turn {
        return;
    }
    if let Err(error) = control.put_in_force(&FaultOrder::default()).await {
        sycamorerail_telemetry::event!(Error, "fault_order_failed", error = error);
    }
}
