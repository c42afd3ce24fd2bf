//! Box lists as files under a running director: renamed into place, cut, taken away, swapped by a link, and a start without one.

mod stage;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ashglade_rtsp::messages::{self, Channels};
use ashglade_rtsp::{Codec, Packet};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use stage::{Director, director_of};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// A node that accepts every SETUP, and how many it had.
async fn node() -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, count) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let counted = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counted = counted.clone();
            tokio::spawn(async move {
                let mut framed = Framed::new(stream, Codec::default());
                while let Some(Ok(Packet::Request(request))) = framed.next().await {
                    let mut response =
                        messages::response(StatusCode::Ok, messages::cseq(&request).as_deref());
                    if *request.method() == Method::Setup {
                        counted.fetch_add(1, Ordering::SeqCst);
                        response.insert_header(headers::SESSION, "1");
                        response
                            .insert_header(headers::TRANSPORT, Channels { rtp: 0, rtcp: 1 }.granted(None));
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

/// The status of one request for a session, which ends with its connection.
async fn asked(director: &Director) -> u16 {
    let stream = TcpStream::connect(director.address).await.unwrap();
    let mut framed = Framed::new(stream, Codec::default());
    let url = Url::parse(&format!("rtsp://{}/t/track1", director.address)).unwrap();
    let mut request = messages::request(Method::Setup, &url, 1);
    request.insert_header(headers::TRANSPORT, "RTP/AVP/TCP;unicast;interleaved=0-1");
    framed.send(Packet::Request(request)).await.unwrap();
    let packet = tokio::time::timeout(Duration::from_secs(10), framed.next()).await.expect("an answer");
    match packet {
        Some(Ok(Packet::Response(response))) => response.status().into(),
        other => panic!("{other:?}"),
    }
}

fn boxes(generation: u64, nodes: &[std::net::SocketAddr], more: &str) -> String {
    let line = |(i, node): (usize, &std::net::SocketAddr)| {
        format!(
            "box {{ name: \"m{i}\" address: \"{node}\" http: \"{node}\" zone: \"a\" model: \"m\" cell: {i} weight: 1 }}\n"
        )
    };
    format!("generation: {generation}\n{}{more}", nodes.iter().enumerate().map(line).collect::<String>())
}

/// Asks until the node has had a SETUP more.
async fn until_asked(director: &Director, count: &AtomicUsize) {
    let before = count.load(Ordering::SeqCst);
    for _ in 0..500 {
        asked(director).await;
        if count.load(Ordering::SeqCst) > before {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the list was not taken");
}

fn put(path: &Path, text: &str) {
    let new = path.with_extension("tmp");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(new, path).unwrap();
}

#[tokio::test]
async fn lists_that_change_in_service() {
    let ((one, at_one), (two, at_two)) = (node().await, node().await);
    let director = director_of(&[(one, one)]).await;
    let path = director.folder.path().join("boxes.txtpb");
    assert_eq!(asked(&director).await, 200);
    // Renamed into place.
    put(&path, &boxes(2, &[two], "leaves_out: 1\n"));
    until_asked(&director, &at_two).await;
    let first = at_one.load(Ordering::SeqCst);
    // Cut in the middle, then with a checksum that tells a cut between two boxes, then taken away: the old one holds.
    std::fs::write(&path, &boxes(3, &[one, two], "")[..60]).unwrap();
    assert_eq!(asked(&director).await, 200);
    put(&path, &boxes(3, &[one], "checksum: \"00000000\"\nleaves_out: 1\n"));
    assert_eq!(asked(&director).await, 200);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(asked(&director).await, 200);
    assert_eq!(at_one.load(Ordering::SeqCst), first);
    // The folder's file is a link now, and the link is swapped.
    let (old, new) = (director.folder.path().join("a.txtpb"), director.folder.path().join("b.txtpb"));
    std::fs::write(&old, boxes(4, &[two], "")).unwrap();
    std::fs::write(&new, boxes(5, &[one], "leaves_out: 1\n")).unwrap();
    std::os::unix::fs::symlink(&old, &path).unwrap();
    assert_eq!(asked(&director).await, 200);
    std::fs::remove_file(&path).unwrap();
    std::os::unix::fs::symlink(&new, &path).unwrap();
    until_asked(&director, &at_one).await;
}

#[tokio::test]
async fn a_director_starts_without_a_list_on_the_one_that_was_kept() {
    let (one, at_one) = node().await;
    let director = director_of(&[(one, one)]).await;
    assert_eq!(asked(&director).await, 200);
    let folder = director.folder.path();
    let text = std::fs::read_to_string(folder.join("headend.txtpb")).unwrap();
    let spare = stage::spare();
    let text = text
        .replace(&director.address.to_string(), &spare[0].1)
        .replace(&director.http.to_string(), &spare[1].1);
    let text = text.replace("box_list: \"boxes.txtpb\"", "box_list: \"none.txtpb\"");
    std::fs::write(folder.join("second.txtpb"), &text).unwrap();
    let load = || ashglade_director::load(&folder.join("second.txtpb"));
    let trouble = load().unwrap_err().to_string();
    assert!(trouble.starts_with("no box list: ") && trouble.contains("none.txtpb"), "{trouble}");
    // The first keeps the list that is in force.
    let kept = folder.join("kept.txtpb");
    std::fs::write(folder.join("second.txtpb"), format!("{text}kept_list: \"kept.txtpb\"\n")).unwrap();
    std::fs::copy(folder.join("boxes.txtpb"), &kept).unwrap();
    let (_, list, _) = load().unwrap();
    assert_eq!(list.entries[0].address, one);
    let options =
        ashglade_director::Options { settings: folder.join("second.txtpb"), record: None, defect: None };
    tokio::spawn(async move { ashglade_director::serve(options).await.unwrap() });
    let second = Director { address: spare[0].1.parse().unwrap(), ..director };
    let before = at_one.load(Ordering::SeqCst);
    while TcpStream::connect(second.address).await.is_err() {
        tokio::task::yield_now().await;
    }
    assert_eq!(asked(&second).await, 200);
    assert!(at_one.load(Ordering::SeqCst) > before);
}
