//! What the engine's task wants done at nodes, each errand a task of its own.

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::orders::Errand;
use crate::shared::Shared;
use crate::{owed, probe};

/// Runs for as long as there may be any.
pub async fn run(shared: Arc<Shared>, mut errands: mpsc::Receiver<Errand>) {
    while let Some(errand) = errands.recv().await {
        match errand {
            Errand::Probe { probe, address } => {
                drop(tokio::spawn(probe::probe(shared.clone(), probe, address)))
            }
            Errand::TearDown(call) => drop(tokio::spawn(owed::call(shared.clone(), call))),
        }
    }
}
