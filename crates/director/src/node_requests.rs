//! Runs the requests to nodes that belong to no viewer's session, each in a task of its own.

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::context::DirectorContext;
use crate::engine_handle::NodeRequest;
use crate::{probe, teardown};

/// Runs until the engine's task, which sends the requests, has ended.
pub async fn run(context: Arc<DirectorContext>, mut requests: mpsc::Receiver<NodeRequest>) {
    while let Some(request) = requests.recv().await {
        match request {
            NodeRequest::Probe { probe, address } => {
                drop(tokio::spawn(probe::run(context.clone(), probe, address)))
            }
            NodeRequest::Teardown(teardown) => drop(tokio::spawn(teardown::run(context.clone(), teardown))),
        }
    }
}
