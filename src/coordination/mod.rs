//! State machines without I/O: time and random numbers are passed in, actions are returned.
//! See `docs/design.md`, section 7.

pub mod admission;
pub mod answered_requests;
pub mod attempts;
pub mod backoff;
pub mod balancer;
pub mod breaker;
pub mod caller_age;
pub mod crash_watch;
pub mod crashing_requests;
pub mod dissemination;
pub mod domains;
pub mod evidence;
pub mod follow_poll;
pub mod idempotency;
pub mod membership;
pub mod placement;
pub mod quarantine;
pub mod query_limit;
pub mod readiness;
pub mod rendezvous;
pub mod request_limit;
pub mod retry;
pub mod retry_quota;
pub mod rollout;
pub mod room;
pub mod route_evidence;
pub mod slot_queue;
pub mod startup;
pub mod stop_plan;
pub mod store_history;
pub mod store_retry;
pub mod topic_cursor;
pub mod topic_source;
pub mod version_move;
pub mod workspaces;
