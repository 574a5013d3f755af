//! Start of a real node that must read a long `config` stream.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::document::Region;
use sycamorewick::protocol::document::Route;
use sycamorewick::protocol::document::Service;
use sycamorewick::protocol::document::VersionShare;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::record::CONFIG_STREAM;
use sycamorewick::protocol::record::ConfigRecord;
use sycamorewick::protocol::record::Publish;
use sycamorewick::protocol::time::WallMs;
use testbed::fleet::Fleet;
use testbed::fleet::FleetOptions;
use uuid::Uuid;

/// Publications in the stream, more than a node reads in one request.
const PUBLICATIONS: u64 = 70;
/// Services of a document. 64 documents of this size exceed the maximum size of a message.
const SERVICES: usize = 400;
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

fn document() -> Document {
    let name = |index: usize| format!("service-{index:03}");
    let service = |index| Service {
        name: name(index).into(),
        slots: 10,
        cold_start_ms: 0,
        versions: vec![VersionShare {
            name: "v1".into(),
            share: 100,
        }],
        rollout: None,
    };
    let route = |index| Route {
        name: format!("route-{index:03}").into(),
        host: "*".into(),
        methods: Vec::new(),
        path_prefix: format!("/a-long-prefix-of-the-service/{}/", name(index)),
        service: name(index).into(),
        idempotent: true,
        deadline_ms: 1_000,
        attempt_timeout_ms: 500,
    };
    Document {
        regions: vec![Region {
            name: "r1".into(),
            failure_domains: vec!["r1-a".into()],
        }],
        services: (0..SERVICES).map(service).collect(),
        routes: (0..SERVICES).map(route).collect(),
    }
}

/// Guards against a node that gets no configuration at its start, because the records of one read
/// exceed the maximum size of a message.
#[gtest]
fn node_starts_with_records_that_exceed_one_message() -> googletest::Result<()> {
    let mut fleet =
        Fleet::prepare(FleetOptions::new(env!("CARGO_BIN_EXE_sycamorewick"), 1)).or_fail()?;
    let document = document();
    let mut bytes = 0;
    for base in 0..PUBLICATIONS {
        let record = codec::encode(&ConfigRecord::Publish(Publish {
            publish_id: Uuid::from_u128(u128::from(base)),
            base: ConfigVersion(base),
            author: "test".into(),
            at: WallMs(base),
            document: document.clone(),
        }))
        .or_fail()?;
        bytes += record.len();
        fleet.log().append(CONFIG_STREAM, record);
    }
    expect_that!(bytes, gt(codec::MAX_MESSAGE_BYTES));
    fleet.start_node(0).or_fail()?;
    let runtime = actix_rt::System::new();
    runtime
        .block_on(fleet.wait_version(PUBLICATIONS, WAIT_TIMEOUT))
        .or_fail()?;
    Ok(())
}
