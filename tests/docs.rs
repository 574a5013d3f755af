//! The documentation and the program list the same names.

use std::collections::BTreeSet;
use std::fs;

use googletest::prelude::*;
use sycamorewick::node::metrics::METRIC_NAMES;
use sycamorewick::result_code::ResultCode;
use sycamorewick::settings;

#[path = "support/env.rs"]
mod env;

fn page(name: &str) -> String {
    let file = format!("{}/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&file).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// Returns the cells of all table rows in a page.
fn rows(page: &str) -> Vec<Vec<String>> {
    page.lines()
        .filter(|line| line.starts_with("| "))
        .map(|line| {
            let cells = line.trim_matches('|').split('|');
            cells.map(|cell| cell.trim().to_owned()).collect()
        })
        .collect()
}

/// Returns the names in code style in the first cells of the rows, if `filter` accepts them.
fn named(page: &str, filter: impl Fn(&str) -> bool) -> BTreeSet<String> {
    rows(page)
        .iter()
        .filter_map(|row| {
            row[0]
                .strip_prefix('`')?
                .strip_suffix('`')
                .map(str::to_owned)
        })
        .filter(|name| filter(name))
        .collect()
}

fn set<'a>(names: impl IntoIterator<Item = &'a str>) -> BTreeSet<String> {
    names.into_iter().map(str::to_owned).collect()
}

/// Guards against a result code that is not documented or has an outdated text.
#[gtest]
fn result_codes_are_documented() {
    let documented: Vec<(u16, String)> = rows(&page("docs/result-codes.md"))
        .iter()
        .filter(|row| row.len() == 4 && row[0].len() == 4)
        .filter_map(|row| Some((row[0].parse().ok()?, row[1].clone())))
        .collect();
    let known: Vec<(u16, String)> = ResultCode::ALL
        .iter()
        .map(|code| (code.number(), code.text().to_owned()))
        .collect();
    expect_that!(documented, container_eq(known));
}

/// Guards against an exit code that is not documented.
#[gtest]
fn exit_codes_are_documented() {
    let help = env::command(&["--help"]).expect(0).stdout;
    let listed: BTreeSet<String> = help
        .lines()
        .skip_while(|line| !line.starts_with("Exit codes"))
        .skip(1)
        .filter_map(|line| line.split_whitespace().next())
        .map(str::to_owned)
        .collect();
    let documented: BTreeSet<String> = rows(&page("docs/result-codes.md"))
        .iter()
        .filter(|row| row.len() == 3 && row[0].parse::<u8>().is_ok())
        .map(|row| row[0].clone())
        .collect();
    expect_that!(listed.len(), gt(1));
    expect_that!(documented, eq(&listed));
}

/// Guards against a metric that is not documented.
#[gtest]
fn metrics_are_documented() {
    let documented = named(&page("docs/operators.md"), |n| {
        n.starts_with("sycamorewick_")
    });
    expect_that!(documented, eq(&set(METRIC_NAMES.iter().copied())));
}

/// Guards against a table of metrics that differs from the exported metrics.
#[gtest]
fn metrics_are_exported() {
    let env = env::TestEnv::start(1);
    let response = env
        .request(0, "GET", "/metrics", &[env::bearer()], "")
        .expect("the metrics");
    let exported: BTreeSet<String> = response
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next())
        .map(str::to_owned)
        .collect();
    let known = set(METRIC_NAMES.iter().copied());
    // A histogram is exported only after its first value.
    let missing: Vec<&String> = known
        .difference(&exported)
        .filter(|name| !name.ends_with("_seconds") || name.contains("failing"))
        .collect();
    expect_that!(missing, is_empty());
    expect_that!(exported.difference(&known).collect::<Vec<_>>(), is_empty());
}

/// Guards against a setting that is not documented.
#[gtest]
fn settings_are_documented() {
    let documented = named(&page("docs/settings.md"), |_| true);
    expect_that!(documented, eq(&set(settings::field_names())));
}

/// Guards against a command that is not documented.
#[gtest]
fn commands_are_documented() {
    let help = env::command(&["-h"]).expect(0).stdout;
    let commands: BTreeSet<String> = help
        .lines()
        .skip_while(|line| !line.starts_with("Commands:"))
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .filter(|name| *name != "help")
        .map(str::to_owned)
        .collect();
    let pages = page("docs/operators.md") + &page("README.md") + &page("CHANGELOG.md");
    expect_that!(commands.len(), gt(5));
    for command in &commands {
        expect_true!(
            pages.contains(&format!("sycamorewick {command}"))
                || pages.contains(&format!("`{command}`"))
        );
    }
    let design = page("docs/design.md");
    let line = design
        .lines()
        .find_map(|line| line.split_once("Commands: "))
        .expect("the design lists the commands");
    let list = line.1.split('.').next().unwrap_or_default();
    let designed: BTreeSet<String> = list
        .split(", ")
        .map(|name| name.trim_matches('`').to_owned())
        .collect();
    expect_that!(designed, eq(&commands));
}

/// Guards against an endpoint that is not documented, and against a documented one that does not exist.
#[gtest]
fn endpoints_are_documented() {
    let env = env::TestEnv::start(1);
    let documented = named(&page("docs/operators.md"), |name| {
        name.starts_with("GET /") || name.starts_with("POST /")
    });
    expect_that!(documented.len(), gt(8));
    for endpoint in &documented {
        let (method, path) = endpoint.split_once(' ').expect("method and path");
        let path = path.split('?').next().unwrap_or_default();
        let response = env
            .request(0, method, path, &[env::bearer()], "")
            .expect("a response");
        let unknown = response.body.contains("no such path");
        expect_false!(unknown, "{endpoint} is not an endpoint: {response:?}");
    }
    let source = page("src/node/operator_port.rs");
    for path in source
        .split('"')
        .filter(|part| part.starts_with("/v1/") || part.ends_with('z') && part.starts_with('/'))
    {
        let known = documented
            .iter()
            .any(|endpoint| endpoint.split(['?', ' ']).nth(1) == Some(path));
        expect_true!(known, "{path} is not in docs/operators.md");
    }
}

/// Guards against links to missing pages and examples.
#[gtest]
fn links_lead_to_files() {
    for name in [
        "README.md",
        "CONTRIBUTING.md",
        "docs/operators.md",
        "docs/settings.md",
        "docs/result-codes.md",
        "docs/glossary.md",
        "docs/configuration.md",
    ] {
        let dir = name.rsplit_once('/').map_or("", |(dir, _)| dir);
        for link in page(name).split("](").skip(1) {
            let link = link.split(')').next().unwrap_or_default();
            if link.contains("://") || link.starts_with('#') {
                continue;
            }
            let file = link.split('#').next().unwrap_or_default();
            let path = format!("{}/{dir}/{file}", env!("CARGO_MANIFEST_DIR"));
            expect_true!(
                std::path::Path::new(&path).is_file(),
                "{name} links to {link}"
            );
        }
    }
}
