//! Client of the platform's append-only log.
//!
//! Only this module depends on the log's wire format, see `docs/design.md`, section 7. The log has no
//! conditional append, and an append that failed may have taken effect.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;

use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::protocol::time::millis;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::transport::http_client::HttpClient;
use crate::transport::http_client::HttpResponse;
use crate::transport::http_client::OutgoingRequest;
use crate::transport::http_client::SendFailure;

/// Time limit of an append, and of a read beyond its long-poll time.
pub const LOG_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections to the log, enough for one long poll, one append and one batch of outcomes at a time.
const LOG_CONNECTIONS: usize = 4;
/// Attempts to read from the oldest retained record. The log may drop that record between the request for its
/// offset and the read; each further attempt is needed only if it does so again.
const MAX_OLDEST_READS: u32 = 8;

/// Records read from a stream.
#[derive(Debug, Default)]
pub struct LogBatch {
    /// Offset and bytes of each record, ascending.
    pub records: Vec<(u64, Vec<u8>)>,
    /// Offset of the oldest retained record.
    pub oldest: u64,
    /// Offset of the next append.
    pub end: u64,
}

/// Client that reads and appends records.
pub struct LogClient {
    addr: SocketAddr,
    http: HttpClient,
    /// Time of the first failure since the last successful request.
    failing_since: Cell<Option<Instant>>,
}

impl LogClient {
    /// Creates a client for the log at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            http: HttpClient::new(LOG_CONNECTIONS),
            failing_since: Cell::new(None),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// [`ResultCode::LogUnavailable`]; the record may have been appended nevertheless.
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> Result<u64, Failure> {
        let outgoing = outgoing(
            Method::POST,
            &format!("/streams/{stream}"),
            record.into(),
            LOG_TIMEOUT,
        );
        let response = self.exchange(outgoing).await?;
        let text = std::str::from_utf8(&response.body).unwrap_or_default();
        text.trim()
            .parse()
            .map_err(|_| unavailable("the response to an append has no offset"))
    }

    /// Reads at most `max` records from offset `from` on, as a long poll of up to `wait`.
    ///
    /// # Errors
    /// [`ResultCode::LogTruncated`] if `from` is older than the oldest record,
    /// [`ResultCode::MessageTooLarge`] if `max` records exceed the largest message, otherwise
    /// [`ResultCode::LogUnavailable`].
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<LogBatch, Failure> {
        let path = format!(
            "/streams/{stream}?from={from}&max={max}&wait_ms={}",
            millis(wait)
        );
        let response = self
            .exchange(outgoing(
                Method::GET,
                &path,
                Bytes::new(),
                wait + LOG_TIMEOUT,
            ))
            .await?;
        let oldest = offset_header(&response, "log-oldest")?;
        let end = offset_header(&response, "log-end")?;
        if response.status == StatusCode::GONE {
            let text = format!("offset {from} of stream {stream} is older than {oldest}");
            return Err(Failure::new(ResultCode::LogTruncated, text));
        }
        let records = codec::decode(&response.body)?;
        Ok(LogBatch {
            records,
            oldest,
            end,
        })
    }

    /// Reads like [`Self::read`], but from the oldest retained record on if the log has dropped the one at
    /// `from`. In that case the read does not wait.
    ///
    /// # Errors
    /// Like [`Self::read`]; [`ResultCode::LogTruncated`] only if the log drops the oldest record during each of
    /// [`MAX_OLDEST_READS`] attempts.
    pub async fn read_retained(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<LogBatch, Failure> {
        let mut result = self.read(stream, from, max, wait).await;
        for _ in 0..MAX_OLDEST_READS {
            match result {
                Err(failure) if failure.code == ResultCode::LogTruncated => {}
                other => return other,
            }
            let oldest = self.bounds(stream).await?.oldest;
            result = self.read(stream, oldest, max, Duration::ZERO).await;
        }
        result
    }

    /// Returns the bounds of a stream, without records.
    ///
    /// # Errors
    /// [`ResultCode::LogUnavailable`].
    pub async fn bounds(&self, stream: &str) -> Result<LogBatch, Failure> {
        let path = format!("/streams/{stream}?from=0&max=0&wait_ms=0");
        let response = self
            .exchange(outgoing(Method::GET, &path, Bytes::new(), LOG_TIMEOUT))
            .await?;
        let oldest = offset_header(&response, "log-oldest")?;
        let end = offset_header(&response, "log-end")?;
        Ok(LogBatch {
            records: Vec::new(),
            oldest,
            end,
        })
    }

    /// Returns the time since the first failure, if the last request failed.
    ///
    /// `None` does not prove that the log is up, since a node that is not a reader and has nothing to
    /// append calls the log rarely.
    #[must_use]
    pub fn failing_for(&self) -> Option<Duration> {
        self.failing_since.get().map(|since| since.elapsed())
    }

    /// Reads the newest records of a stream, at most `max`, oldest first.
    ///
    /// # Errors
    /// Like [`Self::read_retained`].
    pub async fn read_tail(&self, stream: &str, max: usize) -> Result<LogBatch, Failure> {
        let bounds = self.bounds(stream).await?;
        let from = bounds.end.saturating_sub(max as u64).max(bounds.oldest);
        self.read_retained(stream, from, max, Duration::ZERO).await
    }

    async fn exchange(&self, outgoing: OutgoingRequest) -> Result<HttpResponse, Failure> {
        let result = self.send(outgoing).await;
        if result.is_ok() {
            self.failing_since.set(None);
        } else if self.failing_since.get().is_none() {
            self.failing_since.set(Some(Instant::now()));
        }
        result
    }

    async fn send(&self, outgoing: OutgoingRequest) -> Result<HttpResponse, Failure> {
        let response = self
            .http
            .send(self.addr, outgoing)
            .await
            .map_err(|e| match e {
                SendFailure::TooLarge => Failure::new(
                    ResultCode::MessageTooLarge,
                    "the response of the log is too large",
                ),
                other => unavailable(&other.to_string()),
            })?;
        match response.status {
            StatusCode::OK | StatusCode::GONE => Ok(response),
            status => Err(unavailable(&format!("responded with {status}"))),
        }
    }
}

fn outgoing(method: Method, path: &str, body: Bytes, timeout: Duration) -> OutgoingRequest {
    OutgoingRequest {
        method,
        target: PathAndQuery::try_from(path).expect("stream names and numbers make a valid path"),
        headers: Vec::new(),
        body,
        timeout,
        max_response_bytes: MAX_MESSAGE_BYTES,
    }
}

fn unavailable(text: &str) -> Failure {
    Failure::new(
        ResultCode::LogUnavailable,
        format!("the platform's log: {text}"),
    )
}

fn offset_header(response: &HttpResponse, name: &str) -> Result<u64, Failure> {
    let text = response.header(name).unwrap_or_default();
    text.parse()
        .map_err(|_| unavailable(&format!("the response has no valid header {name}")))
}
