//! Requests of operator commands to the operator port of a node.

use std::fs;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::AUTHORIZATION;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use eyre::WrapErr;
use eyre::bail;
use serde_json::Value;
use sycamorewick::protocol::codec::MAX_MESSAGE_BYTES;
use sycamorewick::transport::http_client::HttpClient;
use sycamorewick::transport::http_client::Outgoing;

use crate::config::OperatorAccess;

/// A client of one node's operator port.
pub struct OperatorClient {
    access: OperatorAccess,
    bearer: HeaderValue,
    http: HttpClient,
}

impl OperatorClient {
    /// Reads the token file.
    pub fn new(access: &OperatorAccess) -> eyre::Result<Self> {
        let file = access.token_file.display();
        let token = fs::read_to_string(&access.token_file)
            .wrap_err_with(|| format!("cannot read token file {file}"))?;
        let bearer =
            HeaderValue::try_from(format!("Bearer {}", token.trim())).wrap_err_with(|| {
                format!("token file {file} holds characters that a header cannot carry")
            })?;
        Ok(Self {
            access: access.clone(),
            bearer,
            http: HttpClient::new(2),
        })
    }

    /// Sends a request and returns status and JSON answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> eyre::Result<(StatusCode, Value)> {
        let body = body
            .map(serde_json::to_vec)
            .transpose()?
            .unwrap_or_default();
        let outgoing = Outgoing {
            method,
            target: PathAndQuery::try_from(path)?,
            headers: vec![
                (AUTHORIZATION, self.bearer.clone()),
                (CONTENT_TYPE, HeaderValue::from_static("application/json")),
            ],
            body: Bytes::from(body),
            timeout,
            max_answer: MAX_MESSAGE_BYTES,
        };
        let addr = self.access.addr;
        let answer = match self.http.send(addr, outgoing).await {
            Ok(answer) => answer,
            Err(e) => bail!(
                "the node at {addr} does not answer: {e}; is it running, and is this its operator port?"
            ),
        };
        if answer.status == StatusCode::UNAUTHORIZED {
            let file = self.access.token_file.display();
            bail!("the node at {addr} does not accept the token in {file}");
        }
        let value =
            serde_json::from_slice(&answer.body).wrap_err("the node's answer is not JSON")?;
        Ok((answer.status, value))
    }
}
