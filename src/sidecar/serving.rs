//! Runs calls on the backend server beside the node, which alone can reach it. See
//! `docs/platform.md`, "Admission".

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;

use crate::coordination::slot_queue::Admit;
use crate::coordination::slot_queue::Changes;
use crate::coordination::slot_queue::Offer;
use crate::coordination::slot_queue::Ticket;
use crate::coordination::version_move::cancelled_percent;
use crate::platform::requests;
use crate::platform::requests::Statement;
use crate::protocol::call::MAX_RESPONSE_BYTES;
use crate::protocol::fleet::BackendReport;
use crate::protocol::hop::HopHead;
use crate::protocol::hop::Load;
use crate::protocol::hop::Tally;
use crate::protocol::name::RouteName;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::SidecarState;
use crate::transport::exchange::Exchange;
use crate::transport::exchange::ExchangeFailure;
use crate::transport::http_client::HttpAnswer;

/// Idle time after which a connection to the backend server is not used again. Backend servers close
/// idle connections after some seconds, some of them without notice.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// The same for calls that are not idempotent, which cannot be sent again if the connection was
/// closed at the same moment.
const MAX_IDLE_NOT_IDEMPOTENT: Duration = Duration::from_millis(700);
/// Time by which the node waits longer than it tells the backend server, so that the backend
/// server's own answer at the deadline still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Time after which a caller is asked to come back if no backend server takes its call.
pub const NO_BACKEND_RETURN: Duration = Duration::from_millis(300);

/// The same if a backend server refused the call although it had a free slot by the node's count. The
/// next call may do better, and a caller that returns at once can still be in time.
const SHED_RETURN: Duration = Duration::from_millis(15);

/// A call for the backend server beside the node.
#[derive(Clone, Debug)]
pub struct ServeCall {
    /// What the entry node decided.
    pub head: HopHead,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers that are passed on.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Whole body.
    pub body: Bytes,
    /// Identity of the client's attempt.
    pub attempt: Option<HeaderValue>,
    /// Time at which the call arrived here.
    pub arrived: Duration,
}

/// How a call ended at a serving node.
#[derive(Debug)]
pub enum ServeEnd {
    /// The backend server ran it and vouches for the answer.
    Ran {
        /// Its answer.
        answer: HttpAnswer,
        /// Time that it took.
        took: Duration,
    },
    /// It did not run and never will.
    Refused {
        /// Why.
        code: ResultCode,
        /// Whether it arrived at the backend server, which refused it.
        arrived: bool,
        /// Time after which room is expected.
        come_back: Duration,
    },
    /// It may have run.
    Unknown(ResultCode),
}

impl ServeEnd {
    /// A refusal of the node itself.
    #[must_use]
    pub fn refused(code: ResultCode) -> Self {
        Self::Refused {
            code,
            arrived: false,
            come_back: NO_BACKEND_RETURN,
        }
    }
}

/// Calls that wait for a slot, sorted by ticket.
#[derive(Default)]
pub struct WaitingCalls(Vec<(Ticket, oneshot::Sender<Result<(), Duration>>)>);

impl WaitingCalls {
    fn add(&mut self, ticket: Ticket) -> oneshot::Receiver<Result<(), Duration>> {
        let (tx, rx) = oneshot::channel();
        // Tickets ascend.
        self.0.push((ticket, tx));
        rx
    }

    fn take(&mut self, ticket: Ticket) -> Option<oneshot::Sender<Result<(), Duration>>> {
        let index = self.0.binary_search_by_key(&ticket, |(other, _)| *other);
        Some(self.0.remove(index.ok()?).1)
    }
}

/// Tells waiting calls what the queue decided.
fn apply(cx: &Sidecar, changes: Changes) {
    let mut state = cx.state.borrow_mut();
    for (ticket, come_back) in changes.refuse {
        if let Some(tx) = state.waiting.take(ticket) {
            // The receiver is gone if the caller left, which needs no answer.
            let _ = tx.send(Err(come_back));
        }
    }
    let mut lost = 0_u32;
    for ticket in changes.start {
        let started = state
            .waiting
            .take(ticket)
            .is_some_and(|tx| tx.send(Ok(())).is_ok());
        lost += u32::from(!started);
    }
    drop(state);
    for _ in 0..lost {
        let now = cx.clock.now();
        let changes = cx
            .state
            .borrow_mut()
            .queue
            .finish(now, &RouteName::from(""), None);
        apply(cx, changes);
    }
}

/// Starts waiting calls after the number of slots changed.
pub fn admit_waiting(cx: &Sidecar) {
    let now = cx.clock.now();
    let changes = cx.state.borrow_mut().queue.advance(now);
    apply(cx, changes);
}

/// Current load and results, which go out with each answer.
pub fn report(cx: &Sidecar) -> (Load, Tally) {
    let state = cx.state.borrow();
    (state.queue.load(), state.tally)
}

/// Gives the slot back when the call ends or is cancelled.
struct Slot {
    cx: Rc<Sidecar>,
    route: RouteName,
    took: Option<Duration>,
    /// Whether the breaker waits for the end of the call.
    judged: bool,
    /// What runs, until it has ended.
    running: Option<RunningCall>,
}

/// A call at the backend server.
struct RunningCall {
    began: Duration,
    objective: Duration,
    backend: BackendReport,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        let mut state = self.cx.state.borrow_mut();
        if !self.judged {
            state.breaker.on_cancelled();
        }
        if let Some(running) = self.running.take() {
            let elapsed = now.saturating_sub(running.began);
            if let Some(percent) = cancelled_percent(elapsed, running.objective) {
                add_run(&mut state, &running.backend, percent, false);
            }
        }
        let changes = state.queue.finish(now, &self.route, self.took);
        drop(state);
        apply(&self.cx, changes);
    }
}

/// Leaves the queue when a waiting call is cancelled.
struct QueuePlace<'a> {
    cx: &'a Rc<Sidecar>,
    ticket: Ticket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = self.cx.state.borrow_mut();
        state.queue.cancel(self.ticket);
        state.waiting.take(self.ticket);
    }
}

/// Runs a call, or refuses it as not run.
pub async fn serve(cx: &Rc<Sidecar>, call: ServeCall) -> ServeEnd {
    if let Err(code) = check(cx, &call.head) {
        return refuse(cx, &call, ServeEnd::refused(code));
    }
    let slot = match admit(cx, &call).await {
        Ok(slot) => slot,
        Err(come_back) => {
            let end = ServeEnd::Refused {
                code: ResultCode::Overloaded,
                arrived: false,
                come_back,
            };
            return refuse(cx, &call, end);
        }
    };
    // The backend server may have left while the call waited.
    let backend = match check(cx, &call.head) {
        Ok(backend) => backend,
        Err(code) => return refuse(cx, &call, ServeEnd::refused(code)),
    };
    let idempotent = call.head.idempotent;
    let now = cx.clock.now();
    if !cx.state.borrow_mut().breaker.admit(now, idempotent) {
        return refuse(cx, &call, ServeEnd::refused(ResultCode::NoBackend));
    }
    let run = run(cx.clone(), call, backend, slot);
    if idempotent {
        return run.await;
    }
    // A call that is not idempotent goes on if its caller leaves; what it does is wanted.
    actix_rt::spawn(run)
        .await
        .unwrap_or(ServeEnd::Unknown(ResultCode::OutcomeUnknown))
}

fn refuse(cx: &Sidecar, call: &ServeCall, end: ServeEnd) -> ServeEnd {
    cx.metrics.gate_refusals.increment(1);
    let (load, _) = report(cx);
    if let ServeEnd::Refused {
        code, come_back, ..
    } = &end
    {
        info!(cx.log, "refused at the gate"; "attempt" => attempt_text(call.attempt.as_ref()),
            "route" => call.head.route.as_str(), "code" => code.number(), "running" => load.running,
            "waiting" => load.waiting, "slots" => load.slots, "left_ms" => millis(call.head.left),
            "come_back_ms" => millis(*come_back));
    }
    end
}

/// Returns an attempt's identity for the log.
pub fn attempt_text(attempt: Option<&HeaderValue>) -> &str {
    attempt
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
}

fn check(cx: &Sidecar, head: &HopHead) -> Result<BackendReport, ResultCode> {
    let state = cx.state.borrow();
    let backend = state.backend.available(cx.clock.now());
    let backend = backend.ok_or(ResultCode::NoBackend)?;
    if backend.service != head.service || backend.version != head.version {
        return Err(ResultCode::NoBackend);
    }
    let plan = state.moves.plan(&head.service);
    if plan.is_some_and(|plan| plan.banned && plan.target == backend.version) {
        return Err(ResultCode::NoBackend);
    }
    Ok(backend.clone())
}

async fn admit(cx: &Rc<Sidecar>, call: &ServeCall) -> Result<Slot, Duration> {
    let now = cx.clock.now();
    let offer = Offer {
        route: call.head.route.clone(),
        priority: call.head.priority,
        objective: call.head.objective,
        objective_at: call.arrived + call.head.objective,
        deadline: call.arrived + call.head.left,
        accepts_late: call.head.accepts_late,
    };
    let slot = || Slot {
        cx: cx.clone(),
        route: call.head.route.clone(),
        took: None,
        judged: false,
        running: None,
    };
    let (rx, ticket, until) = {
        let mut state = cx.state.borrow_mut();
        match state.queue.offer(now, &offer) {
            Admit::Start => return Ok(slot()),
            Admit::Refuse(come_back) => return Err(come_back),
            Admit::Wait(ticket, until) => (state.waiting.add(ticket), ticket, until),
        }
    };
    let place = QueuePlace { cx, ticket };
    let admitted = actix_rt::time::timeout(until.saturating_sub(now), rx).await;
    drop(place);
    match admitted {
        Ok(Ok(Ok(()))) => Ok(slot()),
        Ok(Ok(Err(come_back))) => Err(come_back),
        Ok(Err(_)) | Err(_) => Err(NO_BACKEND_RETURN),
    }
}

async fn run(cx: Rc<Sidecar>, call: ServeCall, backend: BackendReport, mut slot: Slot) -> ServeEnd {
    let began = cx.clock.now();
    let waited = began.saturating_sub(call.arrived);
    let left = call.head.left.saturating_sub(waited);
    slot.running = Some(RunningCall {
        began,
        objective: call.head.objective,
        backend: backend.clone(),
    });
    let sent = forward(&cx, &call, &backend, left);
    let result = match actix_rt::time::timeout(left + DEADLINE_MARGIN, sent).await {
        Ok(result) => result,
        Err(_) => Err(None),
    };
    slot.running = None;
    let took = cx.clock.since(began);
    cx.metrics.backend_latency.record(took);
    let end = conclude(&cx, &call, &backend, result, took);
    if matches!(end, ServeEnd::Ran { .. }) {
        slot.took = Some(took);
    }
    slot.judged = judge(&cx, &end);
    drop(slot);
    count(&cx, &call, &backend, &end, took);
    end
}

/// Tells the breaker how the call ended. Returns whether the end says anything.
fn judge(cx: &Sidecar, end: &ServeEnd) -> bool {
    let whole = match end {
        ServeEnd::Ran { .. } | ServeEnd::Refused { arrived: true, .. } => true,
        ServeEnd::Unknown(ResultCode::BrokenAnswer) => false,
        ServeEnd::Unknown(_) | ServeEnd::Refused { .. } => return false,
    };
    let now = cx.clock.now();
    if cx.state.borrow_mut().breaker.on_end(now, whole) {
        warn!(cx.log, "breaker opened"; "backend" => cx.settings.backend_addr.to_string());
    }
    true
}

/// Sends the call to the backend server; `Err(None)` stands for the end of its time.
async fn forward(
    cx: &Sidecar,
    call: &ServeCall,
    backend: &BackendReport,
    left: Duration,
) -> Result<HttpAnswer, Option<ExchangeFailure>> {
    let mut headers = call.headers.clone();
    headers.extend(requests::for_backend(left, &backend.instance));
    let max_idle = if call.head.idempotent {
        MAX_IDLE
    } else {
        MAX_IDLE_NOT_IDEMPOTENT
    };
    let exchange = |max_idle| Exchange {
        addr: cx.settings.backend_addr,
        method: call.method.clone(),
        target: call.target.clone(),
        headers: headers.clone(),
        body: call.body.clone(),
        max_idle,
        echo: call
            .attempt
            .as_ref()
            .map(|id| (requests::attempt_header(), id)),
        max_answer: MAX_RESPONSE_BYTES,
    };
    match cx.pool.send(exchange(max_idle)).await {
        // The connection was closed while idle; nothing was sent on it.
        Err(ExchangeFailure::NotSent(_)) => {}
        other => return other.map_err(Some),
    }
    cx.pool.send(exchange(Duration::ZERO)).await.map_err(Some)
}

fn conclude(
    cx: &Rc<Sidecar>,
    call: &ServeCall,
    backend: &BackendReport,
    result: Result<HttpAnswer, Option<ExchangeFailure>>,
    took: Duration,
) -> ServeEnd {
    let attempt = attempt_text(call.attempt.as_ref());
    match result {
        Ok(answer) => match requests::read_answer(answer.status.as_u16(), &answer.headers) {
            Statement::Ran => ServeEnd::Ran { answer, took },
            Statement::NotRun => {
                info!(cx.log, "refused by the backend server"; "attempt" => attempt,
                    "instance" => &*backend.instance, "status" => answer.status.as_u16());
                ServeEnd::Refused {
                    code: ResultCode::Overloaded,
                    arrived: true,
                    come_back: SHED_RETURN,
                }
            }
            Statement::OtherInstance => {
                backend_lost(cx, "another incarnation has its address");
                ServeEnd::refused(ResultCode::NoBackend)
            }
            Statement::Unsealed => {
                warn!(cx.log, "answer without a seal"; "attempt" => attempt,
                    "instance" => &*backend.instance, "status" => answer.status.as_u16());
                ServeEnd::Unknown(ResultCode::BrokenAnswer)
            }
        },
        Err(Some(ExchangeFailure::NotSent(why))) => {
            backend_lost(cx, &why);
            ServeEnd::refused(ResultCode::NoBackend)
        }
        Err(failure) => {
            let (code, why) = match failure {
                Some(failure) => (ResultCode::BrokenAnswer, failure.to_string()),
                None => (ResultCode::DeadlineExceeded, "no answer in time".to_owned()),
            };
            warn!(cx.log, "no whole answer"; "attempt" => attempt, "instance" => &*backend.instance,
                "code" => code.number(), "why" => why);
            ServeEnd::Unknown(code)
        }
    }
}

fn backend_lost(cx: &Rc<Sidecar>, why: &str) {
    if cx.state.borrow_mut().backend.mark_down() {
        warn!(cx.log, "backend server lost"; "why" => why);
        cx.entry_changed.notify_one();
    }
}

/// Adds the result to those of the backend server. Its first seconds are slow by nature and do not
/// count for its latency.
fn count(cx: &Sidecar, call: &ServeCall, backend: &BackendReport, end: &ServeEnd, took: Duration) {
    let failed = match end {
        ServeEnd::Ran { answer, .. } => answer.status.is_server_error(),
        ServeEnd::Unknown(_) => true,
        ServeEnd::Refused { .. } => return,
    };
    let objective = call.head.objective.as_secs_f64().max(0.001);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the deadline bounds the latency"
    )]
    let percent = (took.as_secs_f64() / objective * 100.0) as u64;
    add_run(&mut cx.state.borrow_mut(), backend, percent, failed);
}

/// Adds a run to the results if the backend server is still the one that ran it.
fn add_run(state: &mut SidecarState, backend: &BackendReport, percent: u64, failed: bool) {
    let current = state.backend.report();
    if current.is_none_or(|report| !report.is_same_incarnation(backend)) {
        return;
    }
    let is_cold = current.is_some_and(|report| report.cold_left_ms > 0);
    let tally = &mut state.tally;
    if !is_cold || failed {
        tally.runs += 1;
        tally.failures += u64::from(failed);
        tally.latency_percent += percent;
    }
}
