//! Proxy between two machines: limits the bandwidth of the link, and can cut it silently.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are on the way at a time.
const WINDOW: usize = 16 << 10;

#[derive(Clone)]
pub struct Proxy {
    /// Odd while the link is cut. A connection that was open or opened during a cut is lost: nothing passes it any
    /// more, and neither side is told.
    cuts: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, to: SocketAddr, mbps: f64) -> Self {
        let proxy = Self {
            cuts: Arc::default(),
        };
        let listener = TcpListener::bind(listen).expect("proxy");
        let link = Arc::new(Mutex::new(Instant::now()));
        let cuts = proxy.cuts.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let Ok(to) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (from.set_nodelay(true), to.set_nodelay(true));
                let opened = cuts.load(Ordering::Relaxed);
                for (mut from, mut to) in [
                    (
                        from.try_clone().expect("clone"),
                        to.try_clone().expect("clone"),
                    ),
                    (
                        to.try_clone().expect("clone"),
                        from.try_clone().expect("clone"),
                    ),
                ] {
                    let (cuts, link) = (cuts.clone(), link.clone());
                    thread::spawn(move || {
                        let is_lost = || opened % 2 == 1 || cuts.load(Ordering::Relaxed) != opened;
                        let mut buf = vec![0; WINDOW];
                        loop {
                            let read = from.read(&mut buf).unwrap_or(0);
                            let free_at = {
                                let mut free_at = link.lock().unwrap();
                                let time =
                                    Duration::from_secs_f64(read as f64 * 8.0 / (mbps * 1e6));
                                *free_at = (*free_at).max(Instant::now()) + time;
                                *free_at
                            };
                            thread::sleep(free_at.saturating_duration_since(Instant::now()));
                            if is_lost() {
                                // Keeps both sockets open without a word.
                                loop {
                                    thread::park();
                                }
                            }
                            if read == 0 || to.write_all(&buf[..read]).is_err() {
                                let _ = to.shutdown(std::net::Shutdown::Both);
                                let _ = from.shutdown(std::net::Shutdown::Both);
                                return;
                            }
                        }
                    });
                }
            }
        });
        proxy
    }

    pub fn cut(&self) {
        self.cuts.fetch_add(1, Ordering::Relaxed);
    }

    pub fn heal(&self) {
        self.cuts.fetch_add(1, Ordering::Relaxed);
    }
}
