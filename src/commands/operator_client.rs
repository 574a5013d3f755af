//! HTTP client of the operator commands for the operator port of a node.

use std::fmt;
use std::fs;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::AUTHORIZATION;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use serde_json::Value;
use sycamorewick::protocol::codec::MAX_MESSAGE_BYTES;
use sycamorewick::transport::http_client::HttpClient;
use sycamorewick::transport::http_client::OutgoingRequest;

use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

/// Why a request failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestError {
    /// The token file is invalid or the node does not accept the token; retries are useless.
    Token(String),
    /// The node does not respond.
    Unreachable(String),
    /// The node cannot process the request at present, for example because the log is down.
    Unavailable(String),
    /// The node refuses the request; retries are useless.
    Refused(String),
}

impl RequestError {
    /// Returns the exit code of a command that fails with this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Token(_) | Self::Refused(_) => ExitCode::GeneralError,
            Self::Unreachable(_) => ExitCode::Unreachable,
            Self::Unavailable(_) => ExitCode::NotConfirmed,
        }
    }

    /// Whether the same request may succeed later.
    pub fn is_temporary(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Unavailable(_))
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Token(text)
            | Self::Unreachable(text)
            | Self::Unavailable(text)
            | Self::Refused(text) => f.write_str(text),
        }
    }
}

/// Client of one node's operator port.
pub struct OperatorClient {
    access: OperatorAccess,
    bearer: HeaderValue,
    http: HttpClient,
}

impl OperatorClient {
    /// Creates a client with the token from the token file.
    pub fn new(access: &OperatorAccess) -> Result<Self, RequestError> {
        let file = access.token_file.display();
        let token = fs::read_to_string(&access.token_file)
            .map_err(|e| RequestError::Token(format!("cannot read token file {file}: {e}")))?;
        let bearer = HeaderValue::try_from(format!("Bearer {}", token.trim())).map_err(|_| {
            let text = format!("token file {file} has characters that a header must not contain");
            RequestError::Token(text)
        })?;
        Ok(Self {
            access: access.clone(),
            bearer,
            http: HttpClient::new(2),
        })
    }

    /// Sends a GET request and returns the JSON response.
    pub async fn get(&self, path: &str, timeout: Duration) -> Result<Value, RequestError> {
        self.send(Method::GET, path, Bytes::new(), timeout).await
    }

    /// Sends a POST request with a JSON body and returns the JSON response.
    pub async fn post(
        &self,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<Value, RequestError> {
        let body = Bytes::from(body.to_string());
        self.send(Method::POST, path, body, timeout).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Value, RequestError> {
        let outgoing = OutgoingRequest {
            method,
            target: PathAndQuery::try_from(path)
                .map_err(|e| RequestError::Refused(format!("{path} is not a valid path: {e}")))?,
            headers: vec![
                (AUTHORIZATION, self.bearer.clone()),
                (CONTENT_TYPE, HeaderValue::from_static("application/json")),
            ],
            body,
            timeout,
            max_response_bytes: MAX_MESSAGE_BYTES,
        };
        let addr = self.access.addr;
        let response = self.http.send(addr, outgoing).await.map_err(|e| {
            let text = format!(
                "the node at {addr} does not answer: {e}; is it running, and is this its operator \
                 port?"
            );
            RequestError::Unreachable(text)
        })?;
        let message = || String::from_utf8_lossy(&response.body).trim().to_owned();
        match response.status {
            StatusCode::OK => serde_json::from_slice(&response.body).map_err(|_| {
                let text = format!("the response of {addr} is not JSON; is this an operator port?");
                RequestError::Refused(text)
            }),
            StatusCode::UNAUTHORIZED => {
                let file = self.access.token_file.display();
                let text = format!("the node at {addr} does not accept the token in {file}");
                Err(RequestError::Token(text))
            }
            status if status.is_server_error() => Err(RequestError::Unavailable(message())),
            status => Err(RequestError::Refused(format!(
                "the node at {addr} responds with {status}: {}",
                message()
            ))),
        }
    }
}
