//! Admits the large bodies that other nodes want to send, before they are sent. See
//! `docs/platform.md`, "Large bodies".
//!
//! Bodies of a few 100 kB on a link of 10 Mbit/s delay everything behind them: calls of running
//! requests, configurations and answers. Few transfers at once keep the queue of the link short, and a
//! call that would be refused anyway is refused without its body.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;

use crate::coordination::slot_queue::Offer;
use crate::coordination::slot_queue::RUN_MARGIN;
use crate::node::clock::Clock;
use crate::protocol::hop::HOP_REQUEST_HEADER;
use crate::protocol::hop::HopRequestHeader;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::admission::Admitted;
use crate::sidecar::hop;
use crate::sidecar::serving;
use crate::sidecar::serving::ServeOutcome;
use crate::transport::headers;
use crate::transport::http_server::Gate;
use crate::transport::http_server::OwnedRequest;

/// Time that the transfers may keep the link of the node busy; a call behind them waits so long.
const LINK_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Bytes of one transfer that are on the way at a time: the usual size of a TCP window.
const WINDOW_BYTES: f64 = 65_536.0;
/// Smallest number of transfers at once, so that the link is used while one of them starts.
const MIN_TRANSFERS: u32 = 2;

/// Returns the number of large bodies that a node receives at once over a link of this speed.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float saturates at the bounds of the integer"
)]
pub fn max_transfers(link_mbps: f64) -> u32 {
    let queue_bytes = link_mbps * 1e6 / 8.0 * LINK_QUEUE_TIME.as_secs_f64();
    ((queue_bytes / WINDOW_BYTES) as u32).max(MIN_TRANSFERS)
}

/// Permission to receive a large body.
pub struct Transfer {
    /// Time at which the call arrived, before it waited for the permission.
    pub arrived: Duration,
    clock: Clock,
    began: Duration,
    admitted: Admitted,
}

impl Transfer {
    /// Ends the transfer of a body that was received completely.
    pub fn finish(mut self) {
        self.admitted.run_time = Some(self.clock.since(self.began));
    }
}

/// Returns the gate of the port for calls of other nodes.
pub fn gate(cx: &Rc<Sidecar>) -> Gate {
    let cx = cx.clone();
    Rc::new(move |req| {
        let cx = cx.clone();
        Box::pin(async move { admit(&cx, req).await })
    })
}

/// Waits until the body of a call may be sent, and adds the [`Transfer`] to the request.
async fn admit(cx: &Rc<Sidecar>, req: Request) -> Result<Request, Response<BoxBody>> {
    let req = OwnedRequest::new(req);
    let arrived = cx.clock.now();
    let head = headers::text(req.headers(), HOP_REQUEST_HEADER).and_then(HopRequestHeader::decode);
    let Some(head) = head else {
        // The handler refuses the call.
        return Ok(req.into_inner());
    };
    let refused = |outcome| Err(hop::refuse_unread(cx, &req, &head, outcome));
    if cx.stopping.get() {
        return refused(ServeOutcome::refused(ResultCode::Draining));
    }
    if let Err(code) = serving::usable_backend(cx, &head) {
        return refused(ServeOutcome::refused(code));
    }
    let offer = serving::slot_offer(cx, &head, arrived);
    let (retry_after, run) = cx.slots.with(|queue| {
        let run = queue.expected_run(arrived, &offer);
        (queue.would_refuse(arrived, &offer), run)
    });
    if let Some(retry_after) = retry_after {
        return refused(ServeOutcome::overloaded(retry_after));
    }
    let run = run.mul_f64(RUN_MARGIN);
    let transfer = Offer {
        objective_at: offer.objective_at.saturating_sub(run),
        deadline: offer.deadline.saturating_sub(run),
        ..offer
    };
    match cx.transfers.admit(&transfer).await {
        Ok(admitted) => {
            // The home regions of the call may have changed while it waited, and its body must not be sent
            // to a node outside. The failure domain may have been evacuated.
            if let Err(code) = serving::check_location(cx, &head) {
                return refused(ServeOutcome::refused(code));
            }
            req.extensions_mut().insert(Transfer {
                arrived,
                clock: cx.clock,
                began: cx.clock.now(),
                admitted,
            });
            Ok(req.into_inner())
        }
        Err(retry_after) => refused(serving::not_admitted(cx, &head, retry_after)),
    }
}
