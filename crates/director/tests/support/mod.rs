//! Runs a director in the test's process, with settings and a node list in a temporary folder.

use std::net::SocketAddr;

use tokio::net::{TcpSocket, TcpStream};

/// Settings of a director, up to the listener of the `front` section.
pub const SETTINGS: &str = r#"
zone: "a"
model { name: "m" places: 50 }
rung { kb_per_s: 10 utility: 0.5 }
rung { kb_per_s: 20 utility: 1 }
group { name: "lesson" start_target_ms: 1000 setup_timeout_ms: 3000 utility: 1 care: SAFE }
group { name: "event" start_target_ms: 1000 setup_timeout_ms: 3000 utility: 1 care: FRAGILE }
title { name: "t" }
title { name: "two" tracks: 2 }
links { unit_kb_per_s: 1000 cells: 4 racks: 1 }
limits { setups_per_session: 3 answer_margin_ms: 200 most_sessions: 100 max_retry_after_ms: 1000 }
cold { from: 1 warm_after_ms: 1 fall_multiple: 1000 fall_span_ms: 1000 }
reports { probe_timeout_ms: 250 notice_ms: 1000 }
front {
  default_group: "lesson" most_connections: 100 session_timeout_s: 60 write_timeout_ms: 2000
  connect_timeout_ms: 250 answer_timeout_ms: 1000 idle_connections: 4 keep_alive_ms: 60000 drain_ms: 5000
  list_poll_ms: 20
"#;

/// A running director. Each test file uses one of its fronts, RTSP or HLS.
#[allow(dead_code)]
pub struct Director {
    /// Address of the RTSP listener.
    pub address: SocketAddr,
    /// Address of the HLS listener.
    pub http: SocketAddr,
    /// Holds the settings and the node list; deleted when dropped.
    pub folder: tempfile::TempDir,
    /// Sockets that reserve the listeners' ports.
    pub reserved_sockets: [TcpSocket; 2],
}

/// Starts a director with nodes that serve RTSP only.
#[allow(dead_code)]
pub async fn director(nodes: &[SocketAddr]) -> Director {
    director_of(&nodes.iter().map(|&node| (node, node)).collect::<Vec<_>>()).await
}

/// Reserves a port by a socket that is bound but doesn't listen: no other process gets it, while the director
/// can still bind it with SO_REUSEADDR.
fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Reserves two ports and returns them with their addresses as text.
#[allow(dead_code)]
pub fn spare_addresses() -> [(TcpSocket, String); 2] {
    [reserve_port(), reserve_port()].map(|socket| {
        let address = socket.local_addr().unwrap().to_string();
        (socket, address)
    })
}

/// Starts a director with nodes given by their RTSP and HLS addresses, and waits until it accepts
/// connections.
pub async fn director_of(nodes: &[(SocketAddr, SocketAddr)]) -> Director {
    let folder = tempfile::tempdir().unwrap();
    let reserved_sockets = [reserve_port(), reserve_port()];
    let [address, http] =
        [&reserved_sockets[0], &reserved_sockets[1]].map(|socket| socket.local_addr().unwrap());
    let settings = format!(
        "{SETTINGS} listen: \"{address}\" }}\nbox_list: \"boxes.txtpb\"\n\
         hls {{ listen: \"{http}\" most_connections: 50 token_life_s: 600 key {{ id: 1 secret: \"0123456789abcdef\" }} }}\n\
         director {{ number: 0 directors: 1 zone: \"a\" seed: 5 }}\n"
    );
    let mut boxes = "generation: 1\n".to_string();
    for (i, (node, http)) in nodes.iter().enumerate() {
        boxes += &format!(
            "box {{ name: \"n{i}\" address: \"{node}\" http: \"{http}\" zone: \"a\" model: \"m\" cell: {i} weight: 1 }}\n"
        );
    }
    std::fs::write(folder.path().join("boxes.txtpb"), boxes).unwrap();
    let path = folder.path().join("headend.txtpb");
    std::fs::write(&path, settings).unwrap();
    let options = ashglade_director::Options { settings: path, record: None, injected_fault: None };
    tokio::spawn(async move { ashglade_director::serve(options).await.unwrap() });
    loop {
        if TcpStream::connect(address).await.is_ok() {
            return Director { address, http, folder, reserved_sockets };
        }
        tokio::task::yield_now().await;
    }
}
