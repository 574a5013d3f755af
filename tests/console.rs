//! The web console, used through its forms like a browser without scripts.

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::record::CONFIG_STREAM;
use sycamorewick::protocol::record::ConfigRecord;
use testbed::log_server::Outage;

#[path = "support/env.rs"]
mod env;

use env::Response;
use env::TestEnv;

/// Elements without an end tag (HTML standard, section 13.1.2).
const VOID_ELEMENTS: [&str; 5] = ["meta", "link", "input", "br", "!DOCTYPE"];

/// A browser with the session cookie of one operator.
struct Browser<'a> {
    env: &'a TestEnv,
    node: usize,
    cookie: String,
}

type Form = Vec<(String, String)>;

impl<'a> Browser<'a> {
    fn sign_in(env: &'a TestEnv, node: usize, author: &str) -> Self {
        let body = encode(&[("author", author), ("token", env::TOKEN)]);
        let response = env
            .request(node, "POST", "/console/sign-in", &[], &body)
            .expect("a response");
        assert_eq!(response.status, 303, "{response:?}");
        let cookie = response.header("set-cookie").expect("a cookie");
        let cookie = cookie.split(';').next().unwrap_or_default();
        Self {
            env,
            node,
            cookie: format!("cookie: {cookie}"),
        }
    }

    fn get(&self, path: &str) -> Response {
        let headers = [self.cookie.clone()];
        let response = self.env.request(self.node, "GET", path, &headers, "");
        let response = response.expect("a response");
        check_page(&response.body);
        response
    }

    fn post(&self, path: &str, form: &Form, action: &str) -> Response {
        let mut form: Vec<(&str, &str)> = form.iter().map(|(k, v)| (&**k, &**v)).collect();
        form.push(("action", action));
        let headers = [self.cookie.clone()];
        let response = self
            .env
            .request(self.node, "POST", path, &headers, &encode(&form))
            .expect("a response");
        if !response.body.is_empty() {
            check_page(&response.body);
        }
        response
    }

    /// Opens a form and returns its fields.
    fn open(&self, path: &str) -> Form {
        let response = self.get(path);
        assert_eq!(response.status, 200, "{response:?}");
        fields_of(&response.body)
    }
}

fn encode(form: &[(&str, &str)]) -> String {
    url::form_urlencoded::Serializer::new(String::new())
        .extend_pairs(form)
        .finish()
}

fn unescape(text: &str) -> String {
    text.replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&quot;", "\"")
        .replace("&amp;", "&")
}

/// Returns the tags of a page: name, attributes, and the text up to the next tag.
fn tags(page: &str) -> Vec<(String, Form, String)> {
    let mut all = Vec::new();
    for part in page.split('<').skip(1) {
        let (tag, text) = part.split_once('>').expect("a tag ends");
        let (name, mut rest) = tag.split_once(' ').unwrap_or((tag, ""));
        let mut attributes = Vec::new();
        while let Some((key, after)) = rest.split_once("=\"") {
            let (value, next) = after.split_once('"').expect("an attribute ends");
            // Attributes without a value precede the key.
            let mut keys: Vec<&str> = key.split_whitespace().collect();
            let last = keys.pop().expect("an attribute has a name");
            attributes.extend(keys.iter().map(|key| ((*key).to_owned(), String::new())));
            attributes.push((last.to_owned(), unescape(value)));
            rest = next;
        }
        let keys = rest.split_whitespace();
        attributes.extend(keys.map(|key| (key.to_owned(), String::new())));
        all.push((name.to_owned(), attributes, unescape(text)));
    }
    all
}

fn attribute<'a>(attributes: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = attributes.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

/// Returns the fields that a browser sends for the last form of a page.
fn fields_of(page: &str) -> Form {
    let (_, form) = page.rsplit_once("<form").expect("the page has a form");
    let form = format!("<form{form}");
    let mut fields = Form::new();
    let mut select = String::new();
    for (name, attributes, text) in tags(&form) {
        let field = attribute(&attributes, "name")
            .unwrap_or_default()
            .to_owned();
        let value = attribute(&attributes, "value")
            .unwrap_or_default()
            .to_owned();
        match name.as_str() {
            // A browser sends no value for an unchecked checkbox.
            "input"
                if attribute(&attributes, "type") == Some("checkbox")
                    && attribute(&attributes, "checked").is_none() => {}
            "input" => fields.push((field, value)),
            "textarea" => {
                let text = text.strip_prefix('\n').unwrap_or(&text);
                fields.push((field, text.to_owned()));
            }
            "select" => select = field,
            "option" => {
                let known = fields.iter().any(|(key, _)| *key == select);
                let selected = attribute(&attributes, "selected").is_some();
                if selected || !known {
                    fields.retain(|(key, _)| *key != select);
                    fields.push((select.clone(), value));
                }
            }
            _ => {}
        }
    }
    fields
}

fn set(form: &mut Form, name: &str, value: &str) {
    form.retain(|(key, _)| key != name);
    form.push((name.to_owned(), value.to_owned()));
}

fn set_shares(form: &mut Form, shares: &[(&str, &str)]) {
    form.retain(|(key, _)| key != "version" && key != "share");
    for (version, share) in shares {
        form.push(("version".to_owned(), (*version).to_owned()));
        form.push(("share".to_owned(), (*share).to_owned()));
    }
}

/// Checks the parts of a page's validity on which browsers and screen readers depend: elements are
/// nested, ids are unique, each field has a label, and there are no scripts.
fn check_page(page: &str) {
    assert!(
        page.starts_with("<!DOCTYPE html><html lang=\"en\">"),
        "{page}"
    );
    let mut open: Vec<String> = Vec::new();
    let mut ids: Vec<String> = Vec::new();
    let mut labelled: Vec<String> = Vec::new();
    let mut fields: Vec<String> = Vec::new();
    let mut main = 0;
    for (name, attributes, _) in tags(page) {
        if let Some(end) = name.strip_prefix('/') {
            assert_eq!(open.pop().as_deref(), Some(end), "{page}");
            continue;
        }
        assert_ne!(name, "script");
        assert!(
            attributes
                .iter()
                .all(|(key, _)| !key.starts_with("on") && key != "style")
        );
        ids.extend(attribute(&attributes, "id").map(str::to_owned));
        labelled.extend(attribute(&attributes, "for").map(str::to_owned));
        let hidden = attribute(&attributes, "type") == Some("hidden");
        if ["input", "select", "textarea"].contains(&name.as_str()) && !hidden {
            fields.push(attribute(&attributes, "id").unwrap_or("no id").to_owned());
        }
        main += usize::from(name == "main");
        if !VOID_ELEMENTS.contains(&name.as_str()) {
            open.push(name);
        }
    }
    assert!(open.is_empty(), "{open:?} not closed: {page}");
    assert_eq!(main, 1);
    for field in &fields {
        assert!(
            labelled.contains(field),
            "field {field} has no label: {page}"
        );
    }
    for label in &labelled {
        assert!(
            ids.contains(label),
            "label for {label} has no field: {page}"
        );
    }
    let count = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), count, "an id occurs twice: {page}");
}

fn document(env: &TestEnv) -> Value {
    let config = env.get(0, "/v1/config").expect("a document is in force");
    config["document"].clone()
}

fn publish_records(env: &TestEnv) -> usize {
    let records = env.log.records(CONFIG_STREAM);
    records
        .iter()
        .filter(|(_, bytes)| matches!(codec::decode(bytes), Ok(ConfigRecord::Publish(_))))
        .count()
}

/// Starts one node with the default document in force.
fn start_env() -> TestEnv {
    let env = TestEnv::start(1);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    env
}

/// Guards against access without the token, and against a cookie that scripts or other sites can use.
#[gtest]
fn sign_in_needs_token_and_sets_strict_cookie() {
    let env = start_env();
    let page = env
        .request(0, "GET", "/console", &[], "")
        .expect("a response");
    expect_that!(page.status, eq(401));
    check_page(&page.body);
    expect_that!(page.body, not(contains_substring("orders")));
    let policy = page.header("content-security-policy").unwrap_or_default();
    expect_that!(policy, contains_substring("default-src 'none'"));
    expect_that!(policy, contains_substring("frame-ancestors 'none'"));

    let body = encode(&[("author", "ana"), ("token", "wrong")]);
    let response = env
        .request(0, "POST", "/console/sign-in", &[], &body)
        .expect("a response");
    expect_that!(response.status, eq(401));
    expect_that!(response.header("set-cookie"), none());
    let body = encode(&[("author", "ana"), ("token", env::TOKEN)]);
    let response = env
        .request(0, "POST", "/console/sign-in", &[], &body)
        .expect("a response");
    let cookie = response.header("set-cookie").unwrap_or_default();
    expect_that!(cookie, contains_substring("HttpOnly"));
    expect_that!(cookie, contains_substring("SameSite=Strict"));
    expect_that!(cookie, not(contains_substring(env::TOKEN)));

    let browser = Browser::sign_in(&env, 0, "ana");
    expect_that!(browser.get("/console").status, eq(200));
    for forged in [
        browser.cookie.replace("ana", "ben"),
        format!("{}0", browser.cookie),
        "cookie: sw-console=99999999999999.ana.00".to_owned(),
        "cookie: sw-console=".to_owned(),
    ] {
        let response = env
            .request(0, "GET", "/console", &[forged], "")
            .expect("a response");
        expect_that!(response.status, eq(401));
    }
}

/// Guards against cross-site request forgery: a page of another site must not publish on behalf of an
/// operator.
#[gtest]
fn forms_of_other_sites_are_refused() {
    let env = start_env();
    let browser = Browser::sign_in(&env, 0, "ana");
    let mut form = browser.open("/console/service?name=orders");
    set_shares(&mut form, &[("v1", "50"), ("v2", "50")]);
    let mut without = form.clone();
    set(&mut without, "form", "");
    expect_that!(
        browser.post("/console/service", &without, "publish").status,
        eq(403)
    );
    let other = Browser::sign_in(&env, 0, "ben");
    expect_that!(
        other.post("/console/service", &form, "publish").status,
        eq(403)
    );
    for header in [
        "origin: http://192.0.2.1",
        "origin: null",
        "sec-fetch-site: cross-site",
    ] {
        let headers = [browser.cookie.clone(), header.to_owned()];
        let pairs: Vec<(&str, &str)> = form.iter().map(|(k, v)| (&**k, &**v)).collect();
        let body = encode(&pairs) + "&action=publish";
        let response = env.request(0, "POST", "/console/service", &headers, &body);
        expect_that!(response.map(|a| a.status), some(eq(403)), "{header}");
    }
    expect_that!(publish_records(&env), eq(1));
    let origin = format!("origin: http://{}", env.nodes[0].operator_addr);
    let headers = [browser.cookie.clone(), origin];
    let pairs: Vec<(&str, &str)> = form.iter().map(|(k, v)| (&**k, &**v)).collect();
    let body = encode(&pairs) + "&action=publish";
    let response = env.request(0, "POST", "/console/service", &headers, &body);
    expect_that!(response.map(|a| a.status), some(eq(303)));
}

/// Guards against a form that publishes anything other than the shown difference, or drops parts of the
/// document that it does not show.
#[gtest]
fn service_form_shows_difference_and_publishes() {
    let env = start_env();
    let browser = Browser::sign_in(&env, 0, "ana");
    let mut form = browser.open("/console/service?name=orders");
    set_shares(&mut form, &[("v1", "70"), ("v2", "30"), ("", "")]);
    let page = browser.post("/console/service", &form, "check");
    expect_that!(page.status, eq(200));
    expect_that!(
        unescape(&page.body),
        contains_substring("~ services[orders].versions[v1].share: 100 -> 70")
    );
    expect_that!(publish_records(&env), eq(1));
    let response = browser.post("/console/service", &form, "publish");
    expect_that!(
        response.header("location"),
        some(eq("/console?published=2"))
    );
    let mut expected = env::document(70);
    expected["services"][0]["slots"] = json!(10);
    expect_that!(
        document(&env)["services"][0]["versions"],
        eq(&expected["services"][0]["versions"])
    );
    expect_that!(
        document(&env)["routes"].as_array().map(Vec::len),
        some(eq(1))
    );
    let history = env.get(0, "/v1/history").expect("the history");
    expect_that!(history[1]["author"], eq(&json!("ana")));
    let page = browser.get("/console?published=2");
    expect_that!(page.body, contains_substring("Version 2 is accepted"));
    expect_that!(page.body, contains_substring("1008 publication accepted"));
    expect_that!(
        browser.get("/console/history").body,
        contains_substring("ana")
    );
    // The browser sends the same form again, for example after a double click.
    let again = browser.post("/console/service", &form, "publish");
    expect_that!(again.header("location"), some(eq("/console?published=2")));
    expect_that!(publish_records(&env), eq(2));
}

/// Guards against times, steps or flags that a form changes.
#[gtest]
fn forms_keep_rollout_route_and_document() {
    let env = start_env();
    let browser = Browser::sign_in(&env, 0, "ana");
    let mut form = browser.open("/console/service?name=orders");
    for (name, value) in [
        ("from", "v1"),
        ("to", "v2"),
        ("start", "2099-12-07T01:00"),
        ("finish_by", "2099-12-07T03:00:00.250"),
        ("steps", "10, 50,100"),
        ("hold_s", "60"),
    ] {
        set(&mut form, name, value);
    }
    let response = browser.post("/console/service", &form, "publish");
    expect_that!(response.status, eq(303), "{response:?}");
    let rollout = document(&env)["services"][0]["rollout"].clone();
    expect_that!(rollout["start_ms"], eq(&json!(4_100_288_400_000_u64)));
    expect_that!(rollout["finish_by_ms"], eq(&json!(4_100_295_600_250_u64)));
    expect_that!(rollout["steps"], eq(&json!([10, 50, 100])));
    let page = browser.get("/console");
    expect_that!(page.body, contains_substring("scheduled"));
    // An unchanged form equals the version in force.
    for path in [
        "/console/service?name=orders",
        "/console/route?name=all",
        "/console/document",
    ] {
        let form = browser.open(path);
        let path = path.split('?').next().unwrap_or_default();
        let page = browser.post(path, &form, "check");
        expect_that!(
            page.body,
            contains_substring("nothing to publish"),
            "{path}"
        );
    }
    let mut form = browser.open("/console/route");
    for (name, value) in [("name", "post"), ("methods", "POST"), ("path_prefix", "/")] {
        set(&mut form, name, value);
    }
    let page = browser.post("/console/route", &form, "publish");
    expect_that!(page.status, eq(422));
    expect_that!(page.body, contains_substring("3009 ambiguous route"));
    set(&mut form, "path_prefix", "/post");
    expect_that!(
        browser.post("/console/route", &form, "publish").status,
        eq(303)
    );
    expect_that!(document(&env)["routes"][1]["idempotent"], eq(&json!(false)));
    let form = browser.open("/console/route?name=post");
    expect_that!(
        browser.post("/console/route", &form, "remove").status,
        eq(303)
    );
    expect_that!(
        document(&env)["routes"].as_array().map(Vec::len),
        some(eq(1))
    );
    let form = browser.open("/console/service?name=orders");
    let page = browser.post("/console/service", &form, "remove");
    expect_that!(page.body, contains_substring("3006 dangling reference"));
}

/// Guards against the loss of the input when one field is invalid.
#[gtest]
fn invalid_form_keeps_input_and_publishes_nothing() {
    let env = start_env();
    let browser = Browser::sign_in(&env, 0, "ana");
    let mut form = browser.open("/console/service?name=orders");
    set_shares(&mut form, &[("v1", "most"), ("v-new", "30")]);
    set(&mut form, "start", "tomorrow");
    set(&mut form, "steps", "10, all");
    set(&mut form, "slots", "<b>many</b>");
    let page = browser.post("/console/service", &form, "publish");
    expect_that!(page.status, eq(422));
    expect_that!(
        page.body,
        contains_substring("services[0].versions[0].share")
    );
    expect_that!(
        page.body,
        contains_substring("services[0].rollout.start_ms")
    );
    expect_that!(page.body, not(contains_substring("<b>")));
    let kept = fields_of(&page.body);
    for field in form.iter().filter(|(_, value)| !value.is_empty()) {
        expect_that!(kept, contains(eq(field)));
    }
    let mut form = browser.open("/console/document");
    set(&mut form, "document", "\n{ \"regions\": [</textarea>");
    let page = browser.post("/console/document", &form, "publish");
    expect_that!(page.status, eq(422));
    expect_that!(page.body, contains_substring("3001 syntax error"));
    expect_that!(fields_of(&page.body), contains(eq(&form[form.len() - 1])));
    expect_that!(publish_records(&env), eq(1));
}

/// Guards against the loss of one of two concurrent changes.
#[gtest]
fn stale_form_is_refused_with_changes_and_kept_input() {
    let env = TestEnv::start(2);
    env.run(0, &["publish", &env.document(100)]).expect(0);
    let (ana, ben) = (
        Browser::sign_in(&env, 0, "ana"),
        Browser::sign_in(&env, 1, "ben"),
    );
    let mut first = ana.open("/console/service?name=orders");
    let mut second = ben.open("/console/service?name=orders");
    set_shares(&mut first, &[("v1", "80"), ("v2", "20")]);
    set(&mut second, "slots", "33");
    expect_that!(
        ana.post("/console/service", &first, "publish").status,
        eq(303)
    );
    let page = ben.post("/console/service", &second, "publish");
    expect_that!(page.status, eq(409), "{page:?}");
    let text = unescape(&page.body);
    expect_that!(text, contains_substring("What changed since version 1"));
    expect_that!(
        text,
        contains_substring("~ services[orders].versions[v1].share: 100 -> 80")
    );
    expect_that!(
        text,
        contains_substring("~ services[orders].slots: 10 -> 33")
    );
    let mut kept = fields_of(&page.body);
    expect_that!(kept, contains(eq(&("slots".to_owned(), "33".to_owned()))));
    expect_that!(kept, contains(eq(&("base".to_owned(), "2".to_owned()))));
    expect_that!(publish_records(&env), le(3));
    set_shares(&mut kept, &[("v1", "80"), ("v2", "20")]);
    expect_that!(
        ben.post("/console/service", &kept, "publish").status,
        eq(303)
    );
    let config = env.get(1, "/v1/config").expect("a document");
    let service = &config["document"]["services"][0];
    expect_that!(service["slots"], eq(&json!(33)));
    expect_that!(service["versions"][0]["share"], eq(&json!(80)));
}

/// Guards against a form that is lost or published twice after an outage of the log or a lost
/// response.
#[gtest]
fn publish_while_log_is_down_keeps_the_form() {
    let env = start_env();
    let browser = Browser::sign_in(&env, 0, "ana");
    let mut form = browser.open("/console/service?name=orders");
    set(&mut form, "slots", "12");
    env.log.set_outage(Outage::Refuse);
    let page = browser.post("/console/service", &form, "publish");
    expect_that!(page.status, eq(503));
    expect_that!(page.body, contains_substring("not confirmed"));
    expect_that!(page.body, contains_substring("2004 log unavailable"));
    let kept = fields_of(&page.body);
    expect_that!(kept, contains(eq(&("slots".to_owned(), "12".to_owned()))));
    env.log.set_outage(Outage::Off);
    env.lose_next_response();
    let page = browser.post("/console/service", &kept, "publish");
    expect_that!(page.status, eq(503));
    // The append whose response was lost took effect, and the same form is recognised.
    let response = browser.post("/console/service", &fields_of(&page.body), "publish");
    expect_that!(
        response.header("location"),
        some(eq("/console?published=2"))
    );
    env::wait_for("the change is in force", || {
        (document(&env)["services"][0]["slots"] == 12).then_some(())
    });
    expect_that!(publish_records(&env), eq(2));
}

/// Guards against names that are interpreted as HTML.
#[gtest]
fn author_is_escaped() {
    let env = start_env();
    let browser = Browser::sign_in(&env, 0, "<i>ana</i> & co");
    let mut form = browser.open("/console/service?name=orders");
    set(&mut form, "slots", "11");
    expect_that!(
        browser.post("/console/service", &form, "publish").status,
        eq(303)
    );
    let page = browser.get("/console/history");
    expect_that!(
        page.body,
        contains_substring("&lt;i&gt;ana&lt;/i&gt; &amp; co")
    );
}

/// Guards against memory exhaustion of a node by a client without a token.
#[gtest]
fn body_without_session_is_limited() {
    let env = start_env();
    let body = "x".repeat(5_000);
    let response = env.request(0, "POST", "/console/sign-in", &[], &body);
    expect_that!(response.map(|a| a.status), some(eq(413)));
}
