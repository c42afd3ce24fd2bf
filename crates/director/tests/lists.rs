//! Node list files under a running director. Guards against a change that is missed (a rename into place, a
//! swapped symbolic link), against an invalid or missing file that replaces a valid list, and against a
//! failed start while the file is missing.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ashglade_rtsp::messages::{self, InterleavedChannels};
use ashglade_rtsp::{Codec, Packet};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use support::{Director, director_of};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// Starts a node that accepts every SETUP. Returns its address and the number of SETUPs it has received.
async fn start_node() -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, count) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let setup_count = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let setup_count = setup_count.clone();
            tokio::spawn(async move {
                let mut framed = Framed::new(stream, Codec::default());
                while let Some(Ok(Packet::Request(request))) = framed.next().await {
                    let mut response =
                        messages::response(StatusCode::Ok, messages::cseq(&request).as_deref());
                    if *request.method() == Method::Setup {
                        setup_count.fetch_add(1, Ordering::SeqCst);
                        response.insert_header(headers::SESSION, "1");
                        response.insert_header(
                            headers::TRANSPORT,
                            InterleavedChannels { rtp: 0, rtcp: 1 }.transport_header(None),
                        );
                    }
                    if framed.send(Packet::Response(response)).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, count)
}

/// Returns the status of one request for a session. The session ends with its connection.
async fn setup_status(director: &Director) -> u16 {
    let stream = TcpStream::connect(director.address).await.unwrap();
    let mut framed = Framed::new(stream, Codec::default());
    let url = Url::parse(&format!("rtsp://{}/t/track1", director.address)).unwrap();
    let mut request = messages::request(Method::Setup, &url, 1);
    request.insert_header(headers::TRANSPORT, "RTP/AVP/TCP;unicast;interleaved=0-1");
    framed.send(Packet::Request(request)).await.unwrap();
    let packet = tokio::time::timeout(Duration::from_secs(10), framed.next()).await.expect("a response");
    match packet {
        Some(Ok(Packet::Response(response))) => response.status().into(),
        other => panic!("{other:?}"),
    }
}

fn node_list(generation: u64, nodes: &[std::net::SocketAddr], extra_lines: &str) -> String {
    let line = |(i, node): (usize, &std::net::SocketAddr)| {
        format!(
            "box {{ name: \"m{i}\" address: \"{node}\" http: \"{node}\" zone: \"a\" model: \"m\" cell: {i} weight: 1 }}\n"
        )
    };
    format!(
        "generation: {generation}\n{}{extra_lines}",
        nodes.iter().enumerate().map(line).collect::<String>()
    )
}

/// Requests sessions until the node has received another SETUP.
async fn wait_for_setup(director: &Director, count: &AtomicUsize) {
    let before = count.load(Ordering::SeqCst);
    for _ in 0..500 {
        setup_status(director).await;
        if count.load(Ordering::SeqCst) > before {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the list was not accepted");
}

fn replace_file(path: &Path, text: &str) {
    let new_file = path.with_extension("tmp");
    std::fs::write(&new_file, text).unwrap();
    std::fs::rename(new_file, path).unwrap();
}

#[tokio::test]
async fn node_lists_may_change_while_the_director_runs() {
    let ((first_node, first_node_setups), (second_node, second_node_setups)) =
        (start_node().await, start_node().await);
    let director = director_of(&[(first_node, first_node)]).await;
    let path = director.folder.path().join("boxes.txtpb");
    assert_eq!(setup_status(&director).await, 200);
    // Renamed into place.
    replace_file(&path, &node_list(2, &[second_node], "leaves_out: 1\n"));
    wait_for_setup(&director, &second_node_setups).await;
    let setups_before = first_node_setups.load(Ordering::SeqCst);
    // The current list stays in force when the file is truncated in an entry, when a checksum shows that it
    // is truncated between two entries, and when it is removed.
    std::fs::write(&path, &node_list(3, &[first_node, second_node], "")[..60]).unwrap();
    assert_eq!(setup_status(&director).await, 200);
    replace_file(&path, &node_list(3, &[first_node], "checksum: \"00000000\"\nleaves_out: 1\n"));
    assert_eq!(setup_status(&director).await, 200);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(setup_status(&director).await, 200);
    assert_eq!(first_node_setups.load(Ordering::SeqCst), setups_before);
    // A symbolic link in place of the file, which is then swapped for another one.
    let (old_file, new_file) =
        (director.folder.path().join("a.txtpb"), director.folder.path().join("b.txtpb"));
    std::fs::write(&old_file, node_list(4, &[second_node], "")).unwrap();
    std::fs::write(&new_file, node_list(5, &[first_node], "leaves_out: 1\n")).unwrap();
    std::os::unix::fs::symlink(&old_file, &path).unwrap();
    assert_eq!(setup_status(&director).await, 200);
    std::fs::remove_file(&path).unwrap();
    std::os::unix::fs::symlink(&new_file, &path).unwrap();
    wait_for_setup(&director, &first_node_setups).await;
}

#[tokio::test]
async fn a_director_starts_from_the_kept_list_if_there_is_no_other() {
    let (first_node, first_node_setups) = start_node().await;
    let director = director_of(&[(first_node, first_node)]).await;
    assert_eq!(setup_status(&director).await, 200);
    let folder = director.folder.path();
    let text = std::fs::read_to_string(folder.join("headend.txtpb")).unwrap();
    let spare_addresses = support::spare_addresses();
    let text = text
        .replace(&director.address.to_string(), &spare_addresses[0].1)
        .replace(&director.http.to_string(), &spare_addresses[1].1);
    let text = text.replace("box_list: \"boxes.txtpb\"", "box_list: \"none.txtpb\"");
    std::fs::write(folder.join("second.txtpb"), &text).unwrap();
    let load = || ashglade_director::load(&folder.join("second.txtpb"));
    let error = load().unwrap_err().to_string();
    assert!(error.starts_with("no node list: ") && error.contains("none.txtpb"), "{error}");
    // A copy of the list stands for the one kept by an earlier run.
    let kept = folder.join("kept.txtpb");
    std::fs::write(folder.join("second.txtpb"), format!("{text}kept_list: \"kept.txtpb\"\n")).unwrap();
    std::fs::copy(folder.join("boxes.txtpb"), &kept).unwrap();
    let (_, list, _) = load().unwrap();
    assert_eq!(list.entries[0].address, first_node);
    let options = ashglade_director::Options {
        settings: folder.join("second.txtpb"),
        record: None,
        injected_fault: None,
    };
    tokio::spawn(async move { ashglade_director::serve(options).await.unwrap() });
    let second = Director { address: spare_addresses[0].1.parse().unwrap(), ..director };
    let before = first_node_setups.load(Ordering::SeqCst);
    while TcpStream::connect(second.address).await.is_err() {
        tokio::task::yield_now().await;
    }
    assert_eq!(setup_status(&second).await, 200);
    assert!(first_node_setups.load(Ordering::SeqCst) > before);
}
