//! The operator commands, each run as a process against real nodes and a test log server.

use std::fs;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::record::CONFIG_STREAM;
use sycamorewick::protocol::record::ConfigRecord;
use sycamorewick::protocol::record::OUTCOME_STREAM;
use sycamorewick::protocol::record::OutcomeRecord;
use sycamorewick::protocol::time::WallMs;
use testbed::backend_server::BackendOptions;
use testbed::backend_server::BackendServer;
use testbed::log_server::Outage;
use uuid::Uuid;

#[path = "support/env.rs"]
mod env;

use env::TestEnv;

const COMMANDS: [&str; 11] = [
    "node",
    "validate",
    "publish",
    "diff",
    "history",
    "status",
    "watch",
    "revert",
    "console",
    "explain",
    "completions",
];

/// Returns the number of publish records in the log, whether or not they took effect.
fn publish_records(env: &TestEnv) -> usize {
    let records = env.log.records(CONFIG_STREAM);
    records
        .iter()
        .filter(|(_, bytes)| matches!(codec::decode(bytes), Ok(ConfigRecord::Publish(_))))
        .count()
}

fn accepted(env: &TestEnv, index: usize) -> Vec<Value> {
    let history = env.get(index, "/v1/history").expect("the history");
    let entries = history.as_array().expect("a list").iter();
    entries
        .filter(|entry| entry["result"] == "accepted")
        .cloned()
        .collect()
}

/// Guards against a command whose help is missing, lacks an example or, in its short form, exceeds 30
/// lines.
#[gtest]
fn help_short_and_complete() {
    for name in COMMANDS {
        let short = env::command(&[name, "-h"]).expect(0).stdout;
        let long = env::command(&[name, "--help"]).expect(0).stdout;
        expect_that!(short.lines().count(), le(30), "{name}");
        expect_that!(long, contains_substring("Example"), "{name}");
        expect_that!(long, contains_substring("--json"), "{name}");
        expect_that!(long, contains_substring("--color"), "{name}");
    }
}

/// Guards against wrong arguments with the exit code of another failure.
#[gtest]
fn arguments_wrong_exit_with_2() {
    for args in [
        vec![],
        vec!["publish"],
        vec!["revert", "0"],
        vec!["history", "--limit", "0"],
        vec!["status", "--operator", "nowhere"],
        vec!["status", "--color", "blue"],
        vec!["fly"],
    ] {
        let run = env::command(&args);
        expect_that!(run.code, some(eq(2)), "{args:?}");
    }
    for args in [
        "--host a --path /",
        "--node 127.0.0.1:1 --path /",
        "--node 127.0.0.1:1 --host a",
        "--node nowhere --host a --path /",
        "--node 127.0.0.1:1 --host a --path no-slash",
        "--node 127.0.0.1:1 --host a --path / --key-file k --workspace acme",
    ] {
        let words: Vec<&str> = std::iter::once("explain").chain(args.split(' ')).collect();
        let run = env::command(&words);
        expect_that!(run.code, some(eq(2)), "explain {args}");
    }
}

/// Guards against completion scripts that lack a command.
#[gtest]
fn completions_contain_all_commands() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let script = env::command(&["completions", shell]).expect(0).stdout;
        for name in COMMANDS {
            expect_that!(script, contains_substring(name), "{shell}");
        }
    }
}

/// Guards against an exit code of `validate` that contradicts its output, and against errors without a
/// position.
#[gtest]
fn validate_plain_and_json() -> googletest::Result<()> {
    let dir = tempfile::tempdir()?;
    let good = dir.path().join("good.jsonc").display().to_string();
    let bad = dir.path().join("bad.jsonc").display().to_string();
    fs::write(&good, env::document(100).to_string())?;
    fs::write(
        &bad,
        env::document(100)
            .to_string()
            .replace("\"share\":0", "\"share\":7"),
    )?;
    let run = env::command(&["validate", &good]).expect(0);
    expect_that!(run.stdout, starts_with("valid: "));
    let run = env::command(&["validate", "--json", &good]).expect(0);
    expect_that!(run.json()["services"], eq(&json!(1)));
    let run = env::command(&["validate", &bad]).expect(3);
    expect_that!(run.stderr, contains_substring("3005"));
    expect_that!(run.stderr, contains_substring("bad.jsonc:1:"));
    expect_that!(run.stdout, eq(""));
    let run = env::command(&["validate", "--json", &bad]).expect(3);
    expect_that!(run.json()["failures"][0]["code"], eq(&json!(3005)));
    env::command(&["validate", "absent.jsonc"]).expect(1);
    Ok(())
}

/// Guards against a settings check that fails on machines without the secrets, such as CI.
#[gtest]
fn check_settings_of_examples_without_secrets() {
    for name in ["registry", "booth"] {
        let file = format!("{}/examples/{name}/node.jsonc", env!("CARGO_MANIFEST_DIR"));
        let run = env::command(&["node", "--check-settings", &file]).expect(0);
        expect_that!(run.stdout, contains_substring("valid"));
        expect_that!(run.stderr, contains_substring("cluster_key_file"));
        let run = env::command(&["node", "--settings", &file]).expect(3);
        expect_that!(run.stderr, contains_substring("operator_token_file"));
    }
}

/// Guards against escape sequences in files and pipes, and against colours that the user disabled.
#[gtest]
fn color_by_terminal_option_and_no_color() -> googletest::Result<()> {
    let dir = tempfile::tempdir()?;
    let file = dir.path().join("d.jsonc").display().to_string();
    fs::write(&file, env::document(100).to_string())?;
    let run = |args: &[&str], env: &[(&str, &str)]| {
        let args: Vec<&str> = ["validate", &file].iter().chain(args).copied().collect();
        env::start(&args, env).finish().expect(0).stdout
    };
    expect_that!(run(&[], &[]), not(contains_substring("\x1b")));
    expect_that!(
        run(&["--color", "never"], &[]),
        not(contains_substring("\x1b"))
    );
    expect_that!(
        run(&["--color", "always"], &[]),
        contains_substring("\x1b[32m")
    );
    // The option takes precedence over the environment variable.
    let with_both = run(&["--color", "always"], &[("NO_COLOR", "1")]);
    expect_that!(with_both, contains_substring("\x1b[32m"));
    Ok(())
}

/// Guards against a key that is repeated in an error, and against failures of `explain` with the exit code of another
/// one.
#[gtest]
fn explain_failures_have_their_exit_codes() -> googletest::Result<()> {
    const KEY: &str = "key-of-acme-51f0";
    let dir = tempfile::tempdir()?;
    let key_file = dir.path().join("acme.key").display().to_string();
    let empty = dir.path().join("empty.key").display().to_string();
    fs::write(&key_file, KEY)?;
    fs::write(&empty, "\n")?;
    let closed = testbed::fleet::free_addr().expect("an address").to_string();
    let run = |file: &str, flags: &[&str]| {
        let args = ["explain", "--node", &closed, "--host", "a", "--path", "/"];
        let args: Vec<&str> = args.into_iter().chain(["--key-file", file]).collect();
        env::command(&[&args[..], flags].concat())
    };
    let unreachable = run(&key_file, &[]).expect(6);
    expect_that!(unreachable.stderr, contains_substring("does not answer"));
    let unreachable = run(&key_file, &["--json"]).expect(6);
    expect_that!(unreachable.json()["result"], eq(&json!("failed")));
    expect_that!(unreachable.stdout, not(contains_substring(KEY)));
    expect_that!(
        run("absent.key", &[]).expect(1).stderr,
        contains_substring("absent.key")
    );
    expect_that!(
        run(&empty, &[]).expect(1).stderr,
        contains_substring("is empty")
    );
    Ok(())
}

/// Guards against reporting an unreachable node as an empty fleet, and against retries with a wrong
/// token.
#[gtest]
fn access_failures_have_their_exit_codes() -> googletest::Result<()> {
    let env = TestEnv::start(1);
    let addr = env.nodes[0].operator_addr.to_string();
    let token = env.dir().join("operator.token").display().to_string();
    let wrong = env.dir().join("wrong.token").display().to_string();
    fs::write(&wrong, "another-token")?;
    let document = env.document(100);
    for command in [
        vec!["status"],
        vec!["history"],
        vec!["publish", &document],
        vec!["watch"],
    ] {
        let with = |addr: &str, token: &str| {
            let access = ["--operator", addr, "--token-file", token];
            let args: Vec<&str> = command.iter().copied().chain(access).collect();
            env::start(&args, &[]).finish()
        };
        let run = with(&addr, &wrong).expect(1);
        let output = run.stdout + &run.stderr;
        expect_that!(output, contains_substring("does not accept the token"));
        with(&addr, "absent.token").expect(1);
    }
    let closed = testbed::fleet::free_addr().expect("an address").to_string();
    let run = env::command(&["status", "--operator", &closed, "--token-file", &token]).expect(6);
    expect_that!(run.stderr, contains_substring("does not answer"));
    let run = env::command(&[
        "publish",
        "--timeout",
        "1",
        "--operator",
        &closed,
        "--token-file",
        &token,
        &document,
    ])
    .expect(6);
    expect_that!(
        run.stdout,
        contains_substring("not confirmed: nothing was published")
    );
    // Refused tokens are reported as an outcome.
    env::wait_for("5010 is reported", || {
        let outcomes = env.get(0, "/v1/outcomes")?;
        let found = outcomes.as_array()?.iter().any(|o| o["code"] == 5010);
        found.then_some(())
    });
    Ok(())
}

/// Guards against a failure of the whole path of a publication, and against a version that decreases
/// when the contents of an earlier one are published again.
#[gtest]
fn publish_diff_history_and_revert() {
    let env = TestEnv::start(3);
    let run = env.run(0, &["publish", &env.document(100)]).expect(0);
    expect_that!(
        run.stdout,
        contains_regex("^in force: version 1 is in force everywhere after [0-9]+ ms\n$")
    );
    let second = env.document(60);
    let run = env.run(1, &["diff", &second]).expect(0);
    expect_that!(
        run.stdout,
        contains_substring("~ services[orders].versions[v1].share: 100 -> 60")
    );
    let run = env
        .run(1, &["publish", "--json", "--author", "ana", &second])
        .expect(0);
    expect_that!(run.json()["result"], eq(&json!("in force")));
    expect_that!(run.json()["version"], eq(&json!(2)));
    let run = env.run(2, &["diff", &second]).expect(0);
    expect_that!(run.stdout, contains_substring("no difference"));

    let run = env.run(1, &["publish", "--base", "1", &second]).expect(4);
    expect_that!(run.stdout, contains_substring("refused: 2001"));
    expect_that!(run.stdout, contains_substring("version 2 by ana"));

    let run = env.run(2, &["revert", "--json", "1"]).expect(0);
    expect_that!(run.json()["version"], eq(&json!(3)));
    let run = env.run(0, &["diff", &env.document(100)]).expect(0);
    expect_that!(run.stdout, contains_substring("no difference"));
    let run = env.run(0, &["revert", "77"]);
    expect_that!(run.code, some(eq(1)));
    expect_that!(run.stderr, contains_substring("no version 77"));

    let history = env.run(2, &["history", "--json"]).expect(0).json();
    let versions: Vec<&Value> = history
        .as_array()
        .unwrap()
        .iter()
        .map(|e| &e["version"])
        .collect();
    expect_that!(
        versions,
        elements_are![eq(&&json!(1)), eq(&&json!(2)), eq(&&json!(3))]
    );
    expect_that!(history[1]["author"], eq(&json!("ana")));
    let run = env.run(2, &["history", "--limit", "1"]).expect(0);
    expect_that!(run.stdout.lines().count(), eq(2));
    expect_that!(run.stdout, contains_substring("accepted"));

    let run = env.run(0, &["status"]).expect(0);
    expect_that!(run.stdout, contains_substring("version 3 is in force"));
    expect_that!(run.stdout, contains_substring("3 of 3 nodes are alive"));
    expect_that!(run.stdout, contains_substring("v1 100%, v2 0%"));
    let run = env.run(0, &["console"]).expect(0);
    expect_that!(run.stdout, contains_substring("/console in a browser"));
    expect_that!(run.stdout, not(contains_substring(env::TOKEN)));
}

/// Guards against the loss of an operator's change: of two publications on the same base, exactly one
/// takes effect, and the other one is refused.
#[gtest]
fn publish_two_operators_race_and_one_wins() {
    let env = TestEnv::start(3);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    for round in 0..5_u8 {
        let base = (accepted(&env, 0).last().expect("a version")["version"]).to_string();
        let (first, second) = (env.document(10 + round), env.document(50 + round));
        let publish = |index, author, file| {
            let args = ["publish", "--base", base.as_str(), "--author", author, file];
            env.spawn(index, &args)
        };
        let (ana, ben) = (publish(1, "ana", &first), publish(2, "ben", &second));
        let runs = [ana.finish(), ben.finish()];
        let mut codes = runs.each_ref().map(|run| run.code);
        codes.sort_unstable();
        expect_that!(codes, eq([Some(0), Some(4)]), "{runs:?}");
        let loser = runs.iter().find(|run| run.code == Some(4));
        expect_that!(
            loser.map_or("", |run| &run.stdout),
            contains_substring("2001")
        );
    }
    expect_that!(accepted(&env, 0).len(), eq(6));
}

/// Guards against a document that takes effect twice because the response to its append was lost.
#[gtest]
fn publish_lost_response_takes_effect_once() {
    let env = TestEnv::start(3);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    env.lose_next_response();
    let run = env
        .run(1, &["publish", "--json", &env.document(40)])
        .expect(0);
    expect_that!(run.json()["version"], eq(&json!(2)));
    expect_that!(env.log.report().counters.lost_answers, ge(1));
    expect_that!(accepted(&env, 2).len(), eq(2));
    expect_that!(publish_records(&env), eq(2));
}

/// Guards against a wrong result of a retry through a node that received its state from peers and
/// therefore does not know the recent publications: it must neither publish the document again nor
/// report the first attempt as refused.
#[gtest]
fn publish_retried_through_restarted_node_takes_effect_once() {
    let mut env = TestEnv::start(3);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    let body = json!({
        "publish_id": Uuid::now_v7(),
        "base": 1,
        "author": "ana",
        "document": env::document(30),
    });
    let first = env.post(1, "/v1/publish", &body).expect("a response");
    expect_that!(first["result"], eq(&json!("accepted")));
    env.kill_node(2);
    env.start_node(2);
    env.wait_ready(2);
    let second = env.post(2, "/v1/publish", &body).expect("a response");
    expect_that!(second["result"], eq(&json!("accepted")), "{second}");
    expect_that!(second["version"], eq(&first["version"]));
    expect_that!(publish_records(&env), eq(2));
}

/// Guards against a publication that is reported as in force or refused while the log is down, and
/// against one that takes effect later although it was not sent to the log.
#[gtest]
fn publish_during_outage_is_not_confirmed() {
    let env = TestEnv::start(3);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    for outage in [Outage::Refuse, Outage::Hang] {
        env.log.set_outage(outage);
        let args = ["publish", "--timeout", "1", &env.document(20)];
        let run = env.run(1, &args).expect(5);
        expect_that!(run.stdout, starts_with("not confirmed: "));
        expect_that!(run.stdout, contains_substring("2004 log unavailable"));
        let history = env.run(1, &["history"]).expect(5);
        expect_that!(history.stderr, contains_substring("2004"));
    }
    env.log.set_outage(Outage::Off);
    let run = env
        .run(1, &["publish", "--json", &env.document(20)])
        .expect(0);
    expect_that!(run.json()["version"], eq(&json!(2)));
    expect_that!(publish_records(&env), eq(2));
}

/// Guards against publishing a document twice: an attempt ends with "not confirmed" but has taken
/// effect, and the operator retries with the printed base.
#[gtest]
fn publish_retried_on_printed_base_after_lost_responses() {
    let env = TestEnv::start(3);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    env.lose_next_response();
    let args = ["publish", "--timeout", "1", &env.document(40)];
    let run = env.run(1, &args).expect(5);
    expect_that!(run.stdout, contains_substring("--base 1"));
    let run = env
        .run(2, &["publish", "--base", "1", &env.document(40)])
        .expect(4);
    expect_that!(run.stdout, contains_substring("version 2"));
    expect_that!(accepted(&env, 0).len(), eq(2));
}

/// Guards against outcomes that `watch` misses while its node restarts or the log is down.
#[gtest]
fn watch_survives_restart_and_outage() {
    let mut env = TestEnv::start(3);
    let watch = env.spawn(
        0,
        &[
            "watch",
            "--until",
            "version 3 is in force",
            "--timeout",
            "35",
        ],
    );
    env.run(1, &["publish", &env.document(100)]).expect(0);
    env::wait_for("the first version is shown", || {
        watch
            .stdout()
            .contains("version 1 is in force")
            .then_some(())
    });
    env.kill_node(0);
    env::wait_for("the restart is reported", || {
        watch.stderr().contains("does not answer").then_some(())
    });
    // Node 0 receives this outcome only from the log.
    env.run(1, &["publish", "--timeout", "3", &env.document(90)]);
    // These are more outcomes than a node reads from the log for a new watcher.
    for number in 0..600_u64 {
        let outcome = OutcomeRecord {
            code: 1002,
            identity: format!("missed/{number}"),
            at: WallMs(number),
            node: "other".into(),
            subject: "orders v2".into(),
            text: format!("missed outcome {number};"),
        };
        let bytes = codec::encode(&outcome).expect("a record");
        env.log.append(OUTCOME_STREAM, bytes);
    }
    env.start_node(0);
    env.wait_ready(0);
    env::wait_for("all missed outcomes are shown", || {
        let stdout = watch.stdout();
        let shown = |number: u64| stdout.contains(&format!("missed outcome {number};"));
        (0..600).all(shown).then_some(())
    });
    env::wait_for("the missed version is shown", || {
        watch
            .stdout()
            .contains("version 2 is accepted")
            .then_some(())
    });
    env.log.set_outage(Outage::Refuse);
    env::wait_for("the outage is reported", || {
        watch
            .stderr()
            .contains("2004 log unavailable")
            .then_some(())
    });
    env.log.set_outage(Outage::Off);
    env.run(1, &["publish", &env.document(80)]).expect(0);
    let run = watch.finish().expect(0);
    expect_that!(run.stderr, contains_substring("complete again"));
    let lines: Vec<&str> = run.stdout.lines().collect();
    let mut unique = lines.clone();
    unique.sort_unstable();
    unique.dedup();
    expect_that!(unique.len(), eq(lines.len()));
}

/// Guards against a success exit code of a watch that timed out.
#[gtest]
fn watch_timeout_exit_codes() {
    let mut env = TestEnv::start(1);
    env.run(0, &["watch", "--timeout", "1"]).expect(0);
    let run = env
        .run(0, &["watch", "--timeout", "1", "--until", "never"])
        .expect(5);
    expect_that!(run.stderr, contains_substring("no outcome contained"));
    env.kill_node(0);
    env.run(0, &["watch", "--timeout", "1"]).expect(6);
}

/// Guards against a long log outage that is not reported as an outcome.
#[gtest]
fn log_outage_is_an_outcome() {
    let env = TestEnv::start(1);
    env.log.set_outage(Outage::Refuse);
    let has = |code: u16| {
        let outcomes = env.get(0, "/v1/outcomes")?;
        outcomes
            .as_array()?
            .iter()
            .any(|o| o["code"] == code)
            .then_some(())
    };
    env::wait_for("2004 is reported", || has(2004));
    env.log.set_outage(Outage::Off);
    env::wait_for("1011 is reported", || has(1011));
    env::wait_for("both are in the log", || {
        let outcomes = env.log.records("outcomes");
        (outcomes.len() >= 2).then_some(())
    });
}

/// Guards against a client that exhausts the memory of a node through the operator port.
#[gtest]
fn operator_port_limits_head_and_body() {
    let env = TestEnv::start(1);
    let large = format!("x-filler: {}", "x".repeat(9_000));
    let response = env.request(0, "GET", "/v1/status", &[env::bearer(), large], "");
    expect_that!(response.map(|a| a.status), some(eq(431)));
    let body = "x".repeat((4 << 20) + 1);
    let response = env.request(0, "POST", "/v1/publish", &[env::bearer()], &body);
    // The node may close the connection before it has read the whole body.
    if let Some(response) = response {
        expect_that!(response.status, eq(413));
    }
    let response = env.request(0, "POST", "/v1/publish", &[env::bearer()], "{}");
    let response = response.expect("a response");
    expect_that!(response.status, eq(400));
    expect_that!(response.body, contains_substring("not a publication"));
    expect_that!(env.get(0, "/v1/status").is_some(), eq(true));
}

/// Guards against an author name that corrupts tables and log lines.
#[gtest]
fn publish_author_is_checked() {
    let env = TestEnv::start(1);
    for author in ["", "a\u{1b}[31m", &"x".repeat(65)] {
        let run = env
            .run(0, &["publish", "--author", author, &env.document(100)])
            .expect(4);
        expect_that!(run.stdout, contains_substring("author"));
    }
    expect_that!(publish_records(&env), eq(0));
    env.run(0, &["publish", &env.document(100)]).expect(0);
}

/// Guards against a publication that is never reported as in force because its operator did not wait,
/// or because later versions replaced it while its progress was tracked.
#[gtest]
fn publish_without_waiting_is_reported_in_force() {
    let env = TestEnv::start(3);
    for share in [90, 80, 70, 60, 50, 40] {
        let args = ["publish", "--no-wait", "--json", &env.document(share)];
        let run = env.run(0, &args).expect(0);
        expect_that!(run.json()["result"], eq(&json!("accepted")));
    }
    for version in 1..=6 {
        let subject = format!("configuration version {version}");
        env::wait_for("the version is reported in force", || {
            let outcomes = env.get(1, "/v1/outcomes")?;
            let mut outcomes = outcomes.as_array()?.iter();
            let found = outcomes.any(|o| o["code"] == 1001 && o["subject"] == subject.as_str());
            found.then_some(())
        });
    }
}

/// Guards against a panic when the reader of the output, such as `head`, exits first.
#[gtest]
fn output_without_reader_does_not_panic() -> googletest::Result<()> {
    let env = TestEnv::start(1);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    let addr = env.nodes[0].operator_addr.to_string();
    let token = env.dir().join("operator.token").display().to_string();
    for command in ["status", "history", "watch"] {
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_sycamorewick"))
            .args([command, "--operator", &addr, "--token-file", &token])
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()?;
        drop(child.stdout.take());
        let output = child.wait_with_output()?;
        expect_that!(output.status.code(), some(eq(0)), "{command}");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(stderr, eq(""), "{command}");
    }
    Ok(())
}

/// Guards against an empty, wrong or unbounded history after the log has dropped the first records and
/// has the state in a checkpoint, and against a watch that does not report the lost outcomes.
#[gtest]
fn history_and_watch_after_retention() {
    let env = TestEnv::start(2);
    env.log.set_retention(6);
    for share in 80..92_u8 {
        env.run(0, &["publish", &env.document(share)]).expect(0);
    }
    let history = env.run(1, &["history", "--json"]).expect(0).json();
    let entries = history.as_array().expect("a list");
    expect_that!(entries.len(), all!(ge(1), le(6)));
    let newest = entries.last().expect("an entry");
    let in_force = env.get(1, "/v1/status").expect("the status")["version"].clone();
    expect_that!(newest["version"], eq(&in_force));
    expect_that!(newest["result"], eq(&json!("accepted")));
    let run = env.run(1, &["revert", "1"]).expect(1);
    expect_that!(run.stderr, contains_substring("nothing was published"));
    expect_that!(run.stderr, contains_substring("no longer retained"));

    let response = env.get(0, "/v1/watch?from=0").expect("a response");
    expect_that!(response["lost"].as_u64(), some(gt(0)));
    expect_that!(response["log_error"], eq(&Value::Null));
}

/// Starts a log with a retention of 6 records that has dropped some, with requests that take 300 ms.
fn start_with_slow_retaining_log() -> TestEnv {
    let env = TestEnv::start(1);
    env.log.set_retention(6);
    for share in 80..90_u8 {
        env.run(0, &["publish", &env.document(share)]).expect(0);
    }
    for _ in 0..2 {
        env.log.append(OUTCOME_STREAM, b"unknown".as_slice());
    }
    env.log.set_delay(Duration::from_millis(300));
    env
}

/// Runs a request while the log drops its oldest record right after the request has asked for the bounds of
/// the stream, and before it reads from there.
fn while_log_drops_record<T>(env: &TestEnv, stream: &str, request: impl FnOnce() -> T) -> T {
    let bounds = || env.log.report().counters.bounds.requests;
    let before = bounds();
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while bounds() == before && !ended.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1));
            }
            let records = env.log.records(stream);
            let (_, newest) = records.last().expect("a record");
            env.log.append(stream, newest.clone());
        });
        let result = request();
        ended.store(true, Ordering::Relaxed);
        result
    })
}

/// Guards against a history that fails because the log drops its oldest record while it is read.
#[gtest]
fn history_while_log_drops_record() {
    let env = start_with_slow_retaining_log();
    let run = while_log_drops_record(&env, CONFIG_STREAM, || env.run(0, &["history", "--json"]));
    let history = run.expect(0).json();
    expect_that!(history.as_array(), some(not(is_empty())));
    let run = while_log_drops_record(&env, CONFIG_STREAM, || env.run(0, &["revert", "1"]));
    let run = run.expect(1);
    expect_that!(run.stderr, contains_substring("no longer retained"));
}

/// Guards against a watch that reports a fault of the log because the log drops its oldest record while it is
/// read.
#[gtest]
fn watch_while_log_drops_record() {
    let env = start_with_slow_retaining_log();
    let response = while_log_drops_record(&env, OUTCOME_STREAM, || env.get(0, "/v1/watch?from=0"));
    let response = response.expect("a response");
    expect_that!(response["log_error"], eq(&Value::Null));
    expect_that!(response["lost"].as_u64(), some(gt(0)));
    let oldest = env.log.records(OUTCOME_STREAM)[0].0;
    expect_that!(response["lost"].as_u64(), some(le(oldest)));
}

/// Writes a document with a rollout that started a minute ago.
fn started_rollout(env: &TestEnv) -> googletest::Result<String> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let mut document = env::document(100);
    document["services"][0]["rollout"] = json!({
        "from": "v1",
        "to": "v2",
        "start_ms": u64::try_from(now)? - 60_000,
        "finish_by_ms": u64::try_from(now)? + 600_000,
        "steps": [10, 100],
    });
    let file = env.dir().join("rollout.jsonc");
    fs::write(&file, document.to_string())?;
    Ok(file.display().to_string())
}

/// Guards against a stalled rollout that does not report what it waits for.
#[gtest]
fn stalled_rollout_reports_what_it_waits_for() -> googletest::Result<()> {
    let env = TestEnv::start(1);
    let mut options = BackendOptions::new("b1", "orders", "v1");
    options.node_addr = Some(env.nodes[0].request_addr);
    let _backend = BackendServer::start(options)?;
    env::wait_for("the backend server is known", || {
        let status = env.get(0, "/v1/status")?;
        (status["members"][0]["backend"]["up"] == true).then_some(())
    });
    let file = started_rollout(&env)?;
    env.run(0, &["publish", &file]).expect(0);
    let args = [
        "watch",
        "--until",
        "1006 rollout stalled",
        "--timeout",
        "35",
    ];
    let run = env.run(0, &args).expect(0);
    expect_that!(
        run.stdout,
        contains_substring("a backend server of the new version")
    );
    let run = env.run(0, &["status"]).expect(0);
    expect_that!(
        run.stdout,
        contains_substring("stalled: waits for a backend server of the new version")
    );
    Ok(())
}

/// Guards against a stalled rollout that is not reported because no backend server of its service is
/// up, so that no node observes it.
#[gtest]
fn rollout_without_any_backend_server_is_reported() -> googletest::Result<()> {
    let env = TestEnv::start(2);
    let file = started_rollout(&env)?;
    env.run(1, &["publish", &file]).expect(0);
    let args = [
        "watch",
        "--until",
        "1006 rollout stalled",
        "--timeout",
        "35",
    ];
    let run = env.run(1, &args).expect(0);
    expect_that!(
        run.stdout,
        contains_substring("backend server of v1 or v2 that is up")
    );
    Ok(())
}

/// Guards against a status of a large fleet that does not show the one dead node.
#[gtest]
fn status_of_large_fleet_is_summarised() -> googletest::Result<()> {
    let members: Vec<Value> = (0..1_300)
        .map(|i| {
            json!({
                "id": format!("n{i}"),
                "status": if i == 777 { "dead" } else { "alive" },
                "region": format!("r{}", i % 2),
                "failure_domain": format!("d{}", i % 6),
                "backend": null,
            })
        })
        .collect();
    let status =
        json!({ "id": "n0", "ready": true, "version": 7, "alive": 1299, "members": members });
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?.to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head)?;
        let body = status.to_string();
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    });
    let dir = tempfile::tempdir()?;
    let token = dir.path().join("token").display().to_string();
    fs::write(&token, env::TOKEN)?;
    let run = env::command(&["status", "--operator", &addr, "--token-file", &token]).expect(0);
    server.join().expect("the server ends")?;
    expect_that!(
        run.stdout,
        contains_substring("1299 of 1300 nodes are alive")
    );
    expect_that!(run.stdout, contains_substring("n777"));
    expect_that!(run.stdout.lines().count(), le(30));
    Ok(())
}

/// Guards against a wrong cluster key or clock that is visible only in a counter.
#[gtest]
fn rejected_datagrams_are_an_outcome() -> googletest::Result<()> {
    let env = TestEnv::start(1);
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let found = env::wait_for("5004 is reported", || {
        socket.send_to(&[7; 64], env.nodes[0].gossip_addr).ok()?;
        let outcomes = env.get(0, "/v1/outcomes")?;
        let mut outcomes = outcomes.as_array()?.iter();
        outcomes.find(|o| o["code"] == 5004).cloned()
    });
    expect_that!(
        found["text"].as_str(),
        some(contains_substring("cluster keys"))
    );
    expect_that!(found["subject"], eq(&json!("node n0")));
    Ok(())
}
