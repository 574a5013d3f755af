//! Pages of the console.

use maud::DOCTYPE;
use maud::Markup;
use maud::html;
use serde_json::Value;

use crate::diff::Change;
use crate::node::Node;
use crate::node::console::form;
use crate::node::console::form::Fields;
use crate::node::console::form::Section;
use crate::node::history::Entry;
use crate::node::publish;
use crate::node::status;
use crate::protocol::document::Document;
use crate::protocol::name::ConfigVersion;
use crate::protocol::record::OutcomeRecord;
use crate::protocol::time::WallMs;
use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Maximum number of outcomes on the overview.
const MAX_LISTED_OUTCOMES: usize = 50;
/// Largest fleet of which every member is listed.
const MAX_LISTED_MEMBERS: usize = 50;
/// Height of the text field for a whole document.
const DOCUMENT_ROWS: usize = 30;

/// Result of the last submission of a form.
pub enum Notice {
    /// The form is valid.
    Success(String),
    /// The form was refused or its publication was not confirmed.
    Failure(String),
}

/// A page with a form.
pub struct FormPage<'a> {
    /// Part of the document that the form edits.
    pub section: Section,
    /// Version in force.
    pub base: ConfigVersion,
    /// Identity of the opened form, from which its publish id is derived.
    pub nonce: String,
    /// Document in force.
    pub document: &'a Document,
    /// Input of the operator.
    pub fields: &'a Fields,
    /// Result of the last submission.
    pub notice: Option<Notice>,
    /// Errors in the input.
    pub errors: &'a [String],
    /// Differences between the version in force and the input.
    pub changes: Option<&'a [Change]>,
    /// Version that the form was opened with, and the changes since.
    pub changed_since: Option<(ConfigVersion, &'a Result<Vec<Change>, String>)>,
    /// Token against cross-site request forgery.
    pub token: &'a str,
}

fn layout(title: &str, token: Option<&str>, content: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) " - sycamorewick" }
                link rel="stylesheet" href="/console/style.css";
            }
            body {
                @if let Some(token) = token {
                    nav aria-label="Console" {
                        ul {
                            li { a href="/console" { "Overview" } }
                            li { a href="/console/service" { "New service" } }
                            li { a href="/console/route" { "New route" } }
                            li { a href="/console/document" { "Whole document" } }
                            li { a href="/console/history" { "History" } }
                            li {
                                form method="post" action="/console/sign-out" {
                                    input type="hidden" name="form" value=(token);
                                    button type="submit" { "Sign out" }
                                }
                            }
                        }
                    }
                }
                main {
                    h1 { (title) }
                    (content)
                }
            }
        }
    }
}

/// Renders a page with an error message.
pub fn failure(text: &str) -> Markup {
    let content = html! {
        p .notice .bad role="alert" { (text) }
        p { a href="/console" { "Back to the overview" } }
    };
    layout("Request failed", None, &content)
}

/// Renders the sign-in form.
pub fn sign_in(error: Option<&str>) -> Markup {
    let content = html! {
        @if let Some(error) = error {
            p .notice .bad role="alert" { (error) }
        }
        form method="post" action="/console/sign-in" {
            label for="author" { "Your name" }
            input #author name="author" required maxlength="64" autocomplete="username";
            p .hint { "Shown in the history of the publications that you make." }
            label for="token" { "Token" }
            input #token name="token" type="password" required autocomplete="current-password";
            p .hint { "The content of the node's operator token file." }
            div .buttons { button type="submit" { "Sign in" } }
        }
    };
    layout("Sign in", None, &content)
}

/// Renders the state of the fleet, services, routes and rollouts, and the recent outcomes.
pub fn overview(node: &Node, published: Option<ConfigVersion>, token: &str) -> Markup {
    let status = status::status(node);
    let outcomes = recent_outcomes(node);
    let convergence = published.map(|version| publish::convergence(node, version));
    let content = html! {
        @if let Some(state) = convergence {
            p .notice role="status" {
                "Version " (state.version) " is accepted. "
                @if state.everywhere {
                    "It is in force on all " (state.total) " nodes."
                } @else if state.total == 0 {
                    "The nodes are being asked whether they have it; reload this page."
                } @else {
                    "It is in force on " (state.have) " of " (state.total) " nodes; reload this page."
                }
            }
        }
        (node_section(&status))
        (service_table(&status))
        (route_table(node))
        (rollback_list(&status))
        (outcome_table(&outcomes))
        (fleet_table(&status))
    };
    layout("Overview", Some(token), &content)
}

/// Returns the recent outcomes, newest first.
fn recent_outcomes(node: &Node) -> Vec<OutcomeRecord> {
    let state = node.state.borrow();
    let mut outcomes: Vec<OutcomeRecord> = state.outcomes.iter().cloned().collect();
    outcomes.sort_by_key(|outcome| std::cmp::Reverse(outcome.at));
    outcomes
}

fn node_section(status: &Value) -> Markup {
    let number = |name: &str| status[name].as_u64().unwrap_or_default();
    html! {
        p {
            "Node " strong { (text(&status["id"])) }
            @if status["ready"] == true { " is ready. " } @else { " is not ready. " }
            @match number("version") {
                0 => "No configuration is in force. ",
                version => { "Version " strong { (version) } " is in force. " }
            }
            (number("alive")) " of " (list(&status["members"]).len()) " nodes are alive."
        }
        @if let Some(seconds) = status["log_failing_s"].as_u64() {
            p .notice .bad role="alert" {
                "The log has not responded to this node for " (seconds) " s. The configuration in \
                 force remains in force; publications are not possible."
            }
        }
        @if number("invariant_violations") > 0 {
            p .notice .bad role="alert" {
                (number("invariant_violations")) " invariant violations; report them as a bug."
            }
        }
        @if number("outcomes_waiting_for_the_log") > 0 {
            p { (number("outcomes_waiting_for_the_log")) " outcomes are waiting for the log." }
        }
    }
}

fn service_table(status: &Value) -> Markup {
    html! {
        table {
            caption { "Services" }
            thead { tr {
                th scope="col" { "Service" }
                th scope="col" { "Current shares" }
                th scope="col" { "Rollout" }
            } }
            tbody {
                @for service in list(&status["services"]) {
                    @let name = text(&service["service"]);
                    tr {
                        th scope="row" { a href=(link(Section::Service, name)) { (name) } }
                        td {
                            @for (i, share) in list(&service["shares"]).iter().enumerate() {
                                @if i > 0 { ", " }
                                (text(&share["version"])) " " (share["share"].as_u64().unwrap_or_default()) "%"
                            }
                        }
                        td { (rollout(&service["rollout"])) }
                    }
                }
            }
        }
    }
}

fn rollout(rollout: &Value) -> Markup {
    if rollout.is_null() {
        return html! { "none" };
    }
    let phase = text(&rollout["phase"]);
    let class = match phase {
        "complete" => "good",
        "taken back" => "bad",
        _ => "",
    };
    let to = text(&rollout["to"]);
    html! {
        (text(&rollout["from"])) " to " (to) ", " span class=(class) { (phase) }
        @if let Some(step) = rollout["step"].as_u64() {
            ", step " (step + 1) " of " (list(&rollout["steps"]).len())
        }
        ", " (time(&rollout["start_ms"])) " until " (time(&rollout["finish_by_ms"]))
        @if let Some(stalled) = rollout["stalled"].as_str() {
            br;
            span .bad { "Stalled: " (stalled) }
        }
    }
}

fn route_table(node: &Node) -> Markup {
    let snapshot = node.snapshot();
    let routes = snapshot
        .as_ref()
        .map_or(&[][..], |s| &s.versioned().document.routes);
    html! {
        table {
            caption { "Routes" }
            thead { tr {
                th scope="col" { "Route" }
                th scope="col" { "Host" }
                th scope="col" { "Methods" }
                th scope="col" { "Path prefix" }
                th scope="col" { "Service" }
            } }
            tbody {
                @for route in routes {
                    tr {
                        th scope="row" {
                            a href=(link(Section::Route, route.name.as_str())) { (route.name) }
                        }
                        td { (route.host) }
                        td { @if route.methods.is_empty() { "all" } @else { (route.methods.join(", ")) } }
                        td { (route.path_prefix) }
                        td { (route.service) }
                    }
                }
            }
        }
    }
}

fn rollback_list(status: &Value) -> Markup {
    let rollbacks = list(&status["rollbacks"]);
    html! {
        @if !rollbacks.is_empty() {
            h2 { "Versions taken back" }
            ul {
                @for rollback in rollbacks {
                    li .bad {
                        (text(&rollback["key"]["service"])) " " (text(&rollback["key"]["to"]))
                        " at " (time(&rollback["at"])) ": " (text(&rollback["cause"]))
                    }
                }
            }
        }
    }
}

fn outcome_table(outcomes: &[OutcomeRecord]) -> Markup {
    html! {
        table {
            caption { "Outcomes, newest first" }
            thead { tr {
                th scope="col" { "Time (UTC)" }
                th scope="col" { "Result" }
                th scope="col" { "Subject" }
                th scope="col" { "Cause and figures" }
            } }
            tbody {
                @for outcome in outcomes.iter().take(MAX_LISTED_OUTCOMES) {
                    @let code = ResultCode::from_number(outcome.code);
                    tr {
                        td { (form::date_time(outcome.at)) }
                        td { (outcome.code) " " (code.map_or("unknown code", ResultCode::text)) }
                        td { (outcome.subject) }
                        td { (outcome.text) }
                    }
                }
            }
        }
    }
}

/// Renders the members. In a large fleet, only those that are not alive or whose backend server is
/// down are listed.
fn fleet_table(status: &Value) -> Markup {
    let members = list(&status["members"]);
    let large = members.len() > MAX_LISTED_MEMBERS;
    let healthy = |member: &Value| member["status"] == "alive" && member["backend"]["up"] != false;
    let caption = if large {
        "Nodes that are not alive, and those whose backend server is down"
    } else {
        "Fleet"
    };
    html! {
        table {
            caption { (caption) }
            thead { tr {
                th scope="col" { "Node" }
                th scope="col" { "Region" }
                th scope="col" { "Failure domain" }
                th scope="col" { "Backend server" }
                th scope="col" { "Status" }
            } }
            tbody {
                @for member in members.iter().filter(|m| !large || !healthy(m)) {
                    @let backend = &member["backend"];
                    tr {
                        th scope="row" { (text(&member["id"])) }
                        td { (text(&member["region"])) }
                        td { (text(&member["failure_domain"])) }
                        td {
                            @if backend.is_null() { "none" } @else {
                                (text(&backend["service"])) " " (text(&backend["version"]))
                                @if backend["up"] == true { " up" } @else { " down" }
                            }
                        }
                        td class=(if member["status"] == "dead" { "bad" } else { "" }) {
                            (text(&member["status"]))
                        }
                    }
                }
            }
        }
    }
}

/// Renders the publications in the log.
pub fn history(entries: &Result<Vec<Entry>, Failure>, token: &str) -> Markup {
    let content = match entries {
        Err(failure) => html! { p .notice .bad role="alert" { (failure) } },
        Ok(entries) => html! {
            table {
                caption { "Publications that the log retains, newest first" }
                thead { tr {
                    th scope="col" { "Version" }
                    th scope="col" { "Base" }
                    th scope="col" { "Time (UTC)" }
                    th scope="col" { "Author" }
                    th scope="col" { "Result" }
                } }
                tbody {
                    @for entry in entries.iter().rev() {
                        tr {
                            td { @if let Some(version) = entry.version { (version) } @else { "none" } }
                            td { (entry.base) }
                            td { (form::date_time(entry.at)) }
                            td { (entry.author) }
                            td {
                                (entry.result)
                                @if let Some(reason) = &entry.reason { ": " (reason) }
                            }
                        }
                    }
                }
            }
        },
    };
    layout("History", Some(token), &content)
}

impl FormPage<'_> {
    /// Renders the page.
    pub fn render(&self) -> Markup {
        let original = self.fields.get("original");
        let title = match (self.section, original.is_empty()) {
            (Section::Service, true) => "New service".to_owned(),
            (Section::Service, false) => format!("Service {original}"),
            (Section::Route, true) => "New route".to_owned(),
            (Section::Route, false) => format!("Route {original}"),
            (Section::Document, _) => "Whole document".to_owned(),
        };
        let content = html! {
            (self.notice())
            form method="post" action=(self.section.path()) {
                input type="hidden" name="form" value=(self.token);
                input type="hidden" name="base" value=(self.base);
                input type="hidden" name="nonce" value=(self.nonce);
                input type="hidden" name="original" value=(original);
                @match self.section {
                    Section::Service => (self.service_fields()),
                    Section::Route => (self.route_fields()),
                    Section::Document => (self.document_fields()),
                }
                p { "Based on version " (self.base) "." }
                div .buttons {
                    button type="submit" name="action" value="check" { "Check and show differences" }
                    button type="submit" name="action" value="publish" { "Publish" }
                    @if !original.is_empty() {
                        button type="submit" name="action" value="remove" { "Remove and publish" }
                    }
                }
            }
        };
        layout(&title, Some(self.token), &content)
    }

    fn notice(&self) -> Markup {
        html! {
            @match &self.notice {
                Some(Notice::Success(text)) => p .notice role="status" { (text) },
                Some(Notice::Failure(text)) => p .notice .bad role="alert" { (text) },
                None => {},
            }
            @if !self.errors.is_empty() {
                ul { @for error in self.errors { li .bad { (error) } } }
            }
            @if let Some((version, since)) = self.changed_since {
                h2 { "What changed since version " (version) }
                @match since {
                    Ok(changes) => (change_list(changes)),
                    Err(failure) => p { "Unknown: " (failure) },
                }
            }
            @if let Some(changes) = self.changes {
                h2 { "What this form changes in version " (self.base) }
                (change_list(changes))
            }
        }
    }

    fn input(&self, name: &str, label: &str, hint: &str, kind: &str) -> Markup {
        html! {
            label for=(name) { (label) }
            @if kind == "datetime-local" {
                input id=(name) name=(name) type=(kind) step="0.001" value=(self.fields.get(name));
            } @else {
                input id=(name) name=(name) type=(kind) value=(self.fields.get(name));
            }
            @if !hint.is_empty() { p .hint { (hint) } }
        }
    }

    fn service_fields(&self) -> Markup {
        html! {
            (self.input("name", "Name", "", "text"))
            (self.input("slots", "Slots", "Concurrent calls of a backend server that does not announce a number; empty for 10.", "text"))
            (self.input("cold_start_ms", "Cold start, milliseconds", "Latencies during this time after a start are not counted as evidence; empty for 2000.", "text"))
            fieldset {
                legend { "Versions and shares" }
                p .hint { "The shares add up to 100. Empty rows are ignored." }
                @for (i, (version, share)) in self.fields.version_rows().into_iter().enumerate() {
                    @let number = i + 1;
                    label for={ "version-" (number) } { "Version " (number) }
                    input id={ "version-" (number) } name="version" value=(version);
                    label for={ "share-" (number) } { "Share of version " (number) ", percent" }
                    input id={ "share-" (number) } name="share" inputmode="numeric" value=(share);
                }
                div .buttons {
                    button type="submit" name="action" value="rows" { "More rows" }
                }
            }
            fieldset {
                legend { "Rollout" }
                p .hint { "Leave all of it empty for no rollout. Times are UTC." }
                (self.input("from", "From version", "", "text"))
                (self.input("to", "To version", "Its share above must be 0.", "text"))
                (self.input("start", "Start", "", "datetime-local"))
                (self.input("finish_by", "Finish by", "", "datetime-local"))
                (self.input("steps", "Steps, percent", "Ascending, for example 10, 50, 100. The first is at most 10, the last 100.", "text"))
                (self.input("hold_s", "Hold, seconds", "Time after completion during which a fault still rolls the version back; empty for 600.", "text"))
                (self.input("min_calls", "Calls as evidence", "Calls to the new version that each step requires; empty for 50.", "text"))
            }
        }
    }

    fn route_fields(&self) -> Markup {
        let chosen = self.fields.get("service");
        html! {
            (self.input("name", "Name", "", "text"))
            (self.input("host", "Host", "Empty or * for any.", "text"))
            (self.input("methods", "Methods", "For example GET, HEAD; empty for all.", "text"))
            (self.input("path_prefix", "Path prefix", "Begins with /; the longest match wins.", "text"))
            label for="service" { "Service" }
            select #service name="service" {
                @for service in &self.document.services {
                    option value=(service.name) selected[service.name.as_str() == chosen] { (service.name) }
                }
                @if !chosen.is_empty() && !self.document.services.iter().any(|s| s.name.as_str() == chosen) {
                    option value=(chosen) selected { (chosen) " (not in force)" }
                }
            }
            label for="idempotent" {
                input #idempotent type="checkbox" name="idempotent" value="yes" checked[!self.fields.get("idempotent").is_empty()];
                " A call may safely run more than once"
            }
            (self.input("deadline_ms", "Deadline, milliseconds", "For a whole call; empty for 2000.", "text"))
            (self.input("attempt_timeout_ms", "Attempt timeout, milliseconds", "Empty for 1000.", "text"))
        }
    }

    fn document_fields(&self) -> Markup {
        html! {
            label for="document" { "Document" }
            p .hint { "JSON with comments and trailing commas. Comments are not kept after publishing." }
            textarea #document name="document" rows=(DOCUMENT_ROWS) spellcheck="false" {
                // Browsers drop the first line break in a text area.
                "\n" (self.fields.get("document"))
            }
        }
    }
}

fn change_list(changes: &[Change]) -> Markup {
    html! {
        @if changes.is_empty() {
            p { "No difference." }
        } @else {
            ul { @for change in changes { li { code { (change) } } } }
        }
    }
}

fn link(section: Section, name: &str) -> String {
    let name: String = url::form_urlencoded::byte_serialize(name.as_bytes()).collect();
    format!("{}?name={name}", section.path())
}

fn time(value: &Value) -> String {
    form::date_time(WallMs(value.as_u64().unwrap_or_default()))
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
