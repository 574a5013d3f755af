//! Messages of another program to a node's ports and about its entry in the store.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::plan::StrayMessage;

/// Topic of the nodes' entries.
pub const FLEET_TOPIC: &str = "keyed.sidecars";
/// Start that is above all others, so that the message claims to be the newest one.
const LATEST_START: u64 = 1 << 52;
/// Service that no configuration names.
const UNKNOWN_SERVICE: &str = "lighthouse";

/// The backend server of the node that gets a message.
pub struct Target<'a> {
    /// Id of the backend server.
    pub id: &'a str,
    /// Address that the node calls it at.
    pub addr: SocketAddr,
    /// Its service.
    pub service: &'a str,
    /// Its version.
    pub version: &'a str,
}

/// What is sent for a message.
pub enum Sent {
    /// Request to the port for heartbeats: method of the platform with the id, and body.
    Request(String, String),
    /// Record in the place of the node's entry.
    Record(String),
}

fn heartbeat(service: &str, version: &str, addr: SocketAddr, start: Option<u64>) -> String {
    let mut body = json!({
        "address": addr,
        "info": { "service": service, "version": version, "zone": "any", "slots": 4 },
        "status": { "state": "ready", "seq": 1, "cold-left-ms": 0 },
    });
    if let (Some(start), Value::Object(fields)) = (start, &mut body) {
        fields.insert("born".into(), start.into());
    }
    body.to_string()
}

/// Returns what is sent to a node for a message.
#[must_use]
pub fn build(message: StrayMessage, target: &Target<'_>) -> Sent {
    let (service, version) = (target.service, target.version);
    let own_id = format!("Instances.Heartbeat/{}", target.id);
    match message {
        StrayMessage::HeartbeatOfOtherService => Sent::Request(
            "Instances.Heartbeat/stray".into(),
            heartbeat(UNKNOWN_SERVICE, version, target.addr, Some(LATEST_START)),
        ),
        StrayMessage::HeartbeatOfOtherAddress => {
            let addr = SocketAddr::new(target.addr.ip(), 1);
            let body = heartbeat(service, version, addr, Some(LATEST_START));
            Sent::Request("Instances.Heartbeat/stray".into(), body)
        }
        StrayMessage::HeartbeatWithoutStart => {
            Sent::Request(own_id, heartbeat(service, version, target.addr, None))
        }
        StrayMessage::UnknownDeregistration => {
            Sent::Request("Instances.Deregister/stray".into(), "{}".into())
        }
        StrayMessage::UnreadableDeregistration => {
            let path = format!("Instances.Deregister/{}", target.id);
            Sent::Request(path, json!({ "born": "soon" }).to_string())
        }
        StrayMessage::UnreadableEntry => Sent::Record("odd".into()),
    }
}
