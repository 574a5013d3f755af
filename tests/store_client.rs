//! Client of the platform's store, while the store goes back to an earlier state.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use googletest::prelude::*;
use serde_json::json;
use slog::Discard;
use slog::Logger;
use slog::o;
use sycamorewick::platform::store::Store;
use sycamorewick::platform::store::StoreFailure;
use sycamorewick::transport::exchange::ConnectionPool;
use testbed::platform::store::StoreControlChange;
use testbed::platform::store::StoreHandle;
use testbed::platform::store::StoreServer;

const TOPIC: &str = "keyed.status";
const TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> eyre::Result<(StoreHandle, Store)> {
    let server = StoreServer::start(testbed::fleet::free_addr()?)?;
    let log = Logger::root(Discard, o!());
    let client = Store::new(server.addr(), Rc::new(ConnectionPool::default()), log);
    Ok((server, client))
}

fn run<F: Future<Output = eyre::Result<()>>>(test: F) {
    if let Err(e) = actix_rt::System::new().block_on(test) {
        panic!("{e:#}");
    }
}

/// Guards against a conditional write that succeeds since the topic ends at the same offset again, with other
/// records before it.
#[gtest]
fn put_condition_of_earlier_era() {
    run(async {
        let (server, client) = start()?;
        server.take_copy();
        let _ = server.put(TOPIC, "a", b"1");
        let Ok(read) = client.newest(TOPIC, TIMEOUT).await else {
            eyre::bail!("the topic cannot be read");
        };
        server.restore_copy();
        let _ = server.put(TOPIC, "a", b"2");
        // The client learns of the new era by the answer to the write.
        let end = Some(read.topic_end());
        let written = client.put(TOPIC, "a", b"3", end).await;
        expect_that!(written, err(eq(&StoreFailure::Outdated)));
        // Once it knows, it does not send the write.
        let appends = server.calls().appends;
        let written = client.put(TOPIC, "a", b"4", end).await;
        expect_that!(written, err(eq(&StoreFailure::Outdated)));
        expect_that!(server.calls().appends, eq(appends));
        let Ok(read) = client.newest(TOPIC, TIMEOUT).await else {
            eyre::bail!("the topic cannot be read");
        };
        let written = client.put(TOPIC, "a", b"5", Some(read.topic_end())).await;
        expect_that!(written, ok(anything()));
        Ok(())
    });
}

/// Guards against pages of the newest records that are of different eras.
#[gtest]
fn newest_pages_of_two_eras() {
    run(async {
        let (server, client) = start()?;
        for number in 0..520 {
            let _ = server.put(TOPIC, &format!("key {number:03}"), b"1");
        }
        server.take_copy();
        server.change(StoreControlChange {
            delay_ms: Some(1_000),
            ..StoreControlChange::default()
        });
        let restore = async {
            // The answer to the first page has been sent, and that to the second one is delayed.
            while server.calls().newest < 2 {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
            server.restore_copy();
        };
        let (read, ()) = tokio::join!(client.newest(TOPIC, TIMEOUT), restore);
        expect_that!(read, err(eq(&StoreFailure::Outdated)));
        Ok(())
    });
}

/// Starts a store that sends the head and the first half of a response at once and the other half after `delay`,
/// or never.
fn slow_body_store(delay: Option<Duration>) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(mut writer) = stream.try_clone() else {
                continue;
            };
            let mut lines = BufReader::new(stream).lines();
            let mut lines = lines.by_ref().map_while(std::result::Result::ok);
            if !lines.any(|line| line.is_empty()) {
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n";
            let _ = writer.write_all(head.as_bytes());
            let _ = writer.write_all(&[0; 8]);
            match delay {
                Some(delay) => {
                    thread::sleep(delay);
                    let _ = writer.write_all(&[0; 8]);
                }
                // The connection stays open until the client closes it.
                None => lines.for_each(drop),
            }
        }
    });
    Ok(addr)
}

/// Guards against reads of several large records over a slow link that are cut off and begun again by each timeout,
/// so that none ever ends: a node had an old configuration for more than 5 s in this way.
#[gtest]
fn read_response_slower_than_timeout() {
    run(async {
        let log = Logger::root(Discard, o!());
        let addr = slow_body_store(Some(Duration::from_millis(300)))?;
        let client = Store::new(addr, Rc::new(ConnectionPool::default()), log);
        let read = client
            .read(TOPIC, 0, Duration::ZERO, Duration::from_millis(100))
            .await;
        expect_that!(read, ok(anything()));
        Ok(())
    });
}

/// Guards against a reader that waits for ever for the rest of a response.
#[gtest]
fn read_response_without_end() {
    run(async {
        let log = Logger::root(Discard, o!());
        let client = Store::new(
            slow_body_store(None)?,
            Rc::new(ConnectionPool::default()),
            log,
        );
        let read = client.read(TOPIC, 0, Duration::ZERO, Duration::from_millis(100));
        let read = actix_rt::time::timeout(Duration::from_secs(30), read).await;
        let timed_out = StoreFailure::NoAnswer("timed out".into());
        expect_that!(read, ok(err(eq(&timed_out))));
        Ok(())
    });
}

/// Starts a store that answers each request for newest records with a page that is not the last one. The
/// keys are all the same, or count up.
fn endless_store(counts: bool) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        let mut number = 0;
        for stream in listener.incoming().flatten() {
            let Ok(mut writer) = stream.try_clone() else {
                continue;
            };
            for line in BufReader::new(stream)
                .lines()
                .map_while(std::result::Result::ok)
            {
                if !line.is_empty() {
                    continue;
                }
                number += u64::from(counts);
                let value = STANDARD.encode(vec![0; 512 << 10]);
                let page = json!({
                    "items": [{ "key": format!("{number:09}"), "value": value, "offset": number }],
                    "has-more": true,
                    "end-offset": number + 1,
                });
                let body = page.to_string();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    Ok(addr)
}

/// Guards against a store whose pages do not end: the node asked for one after the other and kept them all.
#[gtest]
fn newest_endless_pages() {
    for counts in [false, true] {
        run(async {
            let log = Logger::root(Discard, o!());
            let pool = Rc::new(ConnectionPool::default());
            let client = Store::new(endless_store(counts)?, pool, log);
            let read = client.newest(TOPIC, TIMEOUT);
            let read = actix_rt::time::timeout(TIMEOUT, read).await;
            let is_unreadable = matches!(read, Ok(Err(StoreFailure::Unreadable(_))));
            expect_true!(is_unreadable, "keys count up: {counts}");
            Ok(())
        });
    }
}
