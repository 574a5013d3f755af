//! Web console on the operator port, made of HTML forms without scripts. Pages are rendered on the
//! server, and forms are checked and published in the same way as by the commands. See
//! `docs/operators.md`.

mod form;
mod page;
mod session;

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::CACHE_CONTROL;
use actix_http::header::CONTENT_SECURITY_POLICY;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::LOCATION;
use actix_http::header::REFERRER_POLICY;
use actix_http::header::SET_COOKIE;
use actix_http::header::X_CONTENT_TYPE_OPTIONS;
use bytes::Bytes;
use maud::Markup;
use uuid::Uuid;

use crate::diff;
use crate::diff::Change;
use crate::node::Node;
use crate::node::console::form::Fields;
use crate::node::console::form::Section;
use crate::node::console::page::FormPage;
use crate::node::console::page::Notice;
use crate::node::console::session::Session;
use crate::node::history;
use crate::node::publish;
use crate::node::publish::PublishRequest;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::protocol::document::Document;
use crate::protocol::name::ConfigVersion;
use crate::protocol::record::PublishId;
use crate::result_code::ResultCode;

/// Delay of the response to a wrong token; limits the rate at which one connection can try tokens.
const WRONG_TOKEN_DELAY: Duration = Duration::from_millis(500);
/// Size limit of a request body without a session; token and name are short.
const MAX_SIGN_IN_BYTES: usize = 4 << 10;
/// Content security policy: pages load only their own style sheet, run no scripts and cannot be framed.
const PAGE_POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                      frame-ancestors 'none'; base-uri 'none'";

/// Whether a path belongs to the console.
pub fn is_console_path(path: &str) -> bool {
    path == "/console" || path.starts_with("/console/")
}

/// Returns the size limit of a request body. Only an operator who has signed in may send a whole
/// document.
pub fn body_limit(node: &Node, req: &Request) -> usize {
    match Session::from_request(req, &node.operator_token, node.clock.wall()) {
        Some(_) => MAX_MESSAGE_BYTES,
        None => MAX_SIGN_IN_BYTES,
    }
}

/// Handles a request of a browser.
pub async fn handle(node: &Rc<Node>, req: &Request, body: &Bytes) -> Response<BoxBody> {
    let path = req.path().trim_end_matches('/');
    if path == "/console/style.css" {
        return style_sheet();
    }
    let is_post = req.method() == Method::POST;
    if !is_post && req.method() != Method::GET {
        return html(
            StatusCode::METHOD_NOT_ALLOWED,
            page::failure("The console accepts only GET and POST."),
        );
    }
    if is_post && !session::is_same_origin(req) {
        return html(
            StatusCode::FORBIDDEN,
            page::failure("The form was sent from another site and was refused."),
        );
    }
    let fields = Fields::parse(if is_post {
        body
    } else {
        req.head().uri.query().unwrap_or_default().as_bytes()
    });
    if is_post && path == "/console/sign-in" {
        return sign_in(node, &fields).await;
    }
    let Some(session) = Session::from_request(req, &node.operator_token, node.clock.wall()) else {
        return html(StatusCode::UNAUTHORIZED, page::sign_in(None));
    };
    if is_post && !session.accepts_form(&node.operator_token, fields.get("form")) {
        return html(
            StatusCode::FORBIDDEN,
            page::failure("The form does not belong to this session; open it again."),
        );
    }
    let token = session.form_token(&node.operator_token);
    if let Some(section) = Section::from_path(path) {
        return if is_post {
            submit_form(node, section, &fields, &session, &token).await
        } else {
            open_form(node, section, &fields, &token)
        };
    }
    match (is_post, path) {
        (false, "/console") => {
            crate::node::operator_port::load_outcomes(node).await;
            let version = fields.get("published").parse().ok().map(ConfigVersion);
            html(StatusCode::OK, page::overview(node, version, &token))
        }
        (false, "/console/history") => {
            let entries = history::read(node, None).await.map(|h| h.entries);
            html(StatusCode::OK, page::history(&entries, &token))
        }
        (true, "/console/sign-out") => {
            let mut response = see_other("/console");
            set_cookie(&mut response, "", 0);
            response
        }
        _ => html(
            StatusCode::NOT_FOUND,
            page::failure("The console has no such page."),
        ),
    }
}

async fn sign_in(node: &Rc<Node>, fields: &Fields) -> Response<BoxBody> {
    let entered_token = fields.get("token").trim();
    if blake3::hash(entered_token.as_bytes()) != blake3::hash(node.operator_token.as_bytes()) {
        let failures = &node.operator_auth_failures;
        failures.set(failures.get() + 1);
        actix_rt::time::sleep(WRONG_TOKEN_DELAY).await;
        let text = "The token is not valid for this node.";
        return html(StatusCode::UNAUTHORIZED, page::sign_in(Some(text)));
    }
    let author = fields.get("author").trim();
    if author.is_empty()
        || author.len() > session::MAX_AUTHOR_BYTES
        || author.chars().any(char::is_control)
    {
        let text = "Your name must have 1 to 64 bytes without control characters.";
        return html(StatusCode::BAD_REQUEST, page::sign_in(Some(text)));
    }
    let session = Session::new(&node.operator_token, author, node.clock.wall());
    let mut response = see_other("/console");
    set_cookie(&mut response, &session.cookie, session::MAX_SESSION_S);
    response
}

fn open_form(node: &Node, section: Section, fields: &Fields, token: &str) -> Response<BoxBody> {
    let (base, document) = in_force(node);
    let fields = form::initial(section, &document, fields.get("name"));
    let page = FormPage {
        section,
        base,
        nonce: Uuid::now_v7().to_string(),
        document: &document,
        fields: &fields,
        notice: None,
        errors: &[],
        changes: None,
        changed_since: None,
        token,
    };
    html(StatusCode::OK, page.render())
}

/// Checks or publishes the input of a form. Unless it is published, the form is shown again with the
/// operator's input.
async fn submit_form(
    node: &Rc<Node>,
    section: Section,
    fields: &Fields,
    session: &Session,
    token: &str,
) -> Response<BoxBody> {
    let given_base = ConfigVersion(fields.get("base").parse().unwrap_or_default());
    let (base, document) = in_force(node);
    let nonce = fields.get("nonce").to_owned();
    let mut page = FormPage {
        section,
        base,
        nonce,
        document: &document,
        fields,
        notice: None,
        errors: &[],
        changes: None,
        changed_since: None,
        token,
    };
    let action = fields.get("action");
    if action == "rows" {
        return html(StatusCode::OK, page.render());
    }
    if given_base != base
        && action != "check"
        && let Some(version) = version_of_form(node, section, fields, given_base).await
    {
        return see_other(&format!("/console?published={version}"));
    }
    let applied = form::apply(section, &document, fields, action == "remove");
    let edited = match applied {
        Ok(edited) => edited,
        Err(errors) => {
            let notice = Notice::Failure("Nothing was published; correct these errors.".into());
            page.notice = Some(notice);
            page.errors = &errors;
            return html(StatusCode::UNPROCESSABLE_ENTITY, page.render());
        }
    };
    let changes = diff::changes(&document, &edited);
    page.changes = Some(&changes);
    if given_base != base {
        return refuse_stale(node, page, given_base, &document, None).await;
    }
    if action == "check" || changes.is_empty() {
        let text = if changes.is_empty() {
            "The form is the same as the version in force; there is nothing to publish."
        } else {
            "The form is valid. Nothing is published yet."
        };
        page.notice = Some(Notice::Success(text.into()));
        return html(StatusCode::OK, page.render());
    }
    let request = PublishRequest {
        publish_id: publish_id(&page.nonce, base, &edited),
        base: Some(base),
        author: session.author.clone(),
        document: edited,
    };
    let response = publish::publish(node, request).await;
    match (response.result, response.version) {
        ("accepted", Some(version)) => see_other(&format!("/console?published={version}")),
        ("refused", _) if response.code == ResultCode::PublishStale.number() => {
            let (base, document) = in_force(node);
            let edited = form::apply(section, &document, fields, action == "remove");
            let changes = edited.ok().map(|edited| diff::changes(&document, &edited));
            let page = FormPage {
                base,
                document: &document,
                changes: changes.as_deref(),
                ..page
            };
            refuse_stale(node, page, given_base, &document, Some(response.text)).await
        }
        (result, _) => {
            let text = format!("{result}: {}", response.text);
            page.notice = Some(Notice::Failure(text));
            let status = if result == "refused" {
                StatusCode::UNPROCESSABLE_ENTITY
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            html(status, page.render())
        }
    }
}

/// Returns the version that this form has already defined, if the browser sent it twice or the response
/// to its append was lost.
async fn version_of_form(
    node: &Rc<Node>,
    section: Section,
    fields: &Fields,
    base: ConfigVersion,
) -> Option<ConfigVersion> {
    let document = match history::document(node, base).await {
        Ok(earlier) => earlier.document,
        Err(_) if base == ConfigVersion::NONE => Document::default(),
        Err(_) => return None,
    };
    let edited = form::apply(section, &document, fields, fields.get("action") == "remove").ok()?;
    let id = publish_id(fields.get("nonce"), base, &edited);
    let (version, publication) = history::successor(node, base).await.ok()??;
    (publication.publish_id == id).then_some(version)
}

/// Refuses a form whose base is no longer in force, and shows what has changed since.
async fn refuse_stale(
    node: &Rc<Node>,
    mut page: FormPage<'_>,
    given_base: ConfigVersion,
    document: &Document,
    reason: Option<String>,
) -> Response<BoxBody> {
    let since: Result<Vec<Change>, String> = match history::document(node, given_base).await {
        Ok(earlier) => Ok(diff::changes(&earlier.document, document)),
        Err(_) if given_base == ConfigVersion::NONE => {
            Ok(diff::changes(&Document::default(), document))
        }
        Err(failure) => Err(failure.to_string()),
    };
    let reason = reason.unwrap_or_else(|| {
        format!(
            "this form was opened with version {given_base}, but version {} is in force now",
            page.base
        )
    });
    let text = format!(
        "Refused: {reason}. Your input is kept below and is now based on version {}. Compare it with \
         what has changed since, and publish again.",
        page.base
    );
    page.notice = Some(Notice::Failure(text));
    page.changed_since = Some((given_base, &since));
    html(StatusCode::CONFLICT, page.render())
}

fn in_force(node: &Node) -> (ConfigVersion, Document) {
    node.snapshot().map_or_else(
        || (ConfigVersion::NONE, Document::default()),
        |snapshot| {
            let versioned = snapshot.versioned();
            (versioned.version, versioned.document.clone())
        },
    )
}

/// Derives the publish id from the form, its base and its input, so that a form that a browser sends
/// twice is published once.
fn publish_id(nonce: &str, base: ConfigVersion, document: &Document) -> PublishId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(nonce.as_bytes());
    hasher.update(&base.0.to_be_bytes());
    hasher.update(&codec::encode(document).unwrap_or_default());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    uuid::Builder::from_custom_bytes(bytes).into_uuid()
}

fn style_sheet() -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(include_str!("style.css")));
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/css; charset=utf-8"),
    );
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("max-age=300"));
    response
}

fn html(status: StatusCode, markup: Markup) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(markup.into_string()));
    set_page_headers(&mut response);
    response
}

fn see_other(path: &str) -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::SEE_OTHER, BoxBody::new(""));
    if let Ok(value) = HeaderValue::try_from(path) {
        response.headers_mut().insert(LOCATION, value);
    }
    set_page_headers(&mut response);
    response
}

fn set_page_headers(response: &mut Response<BoxBody>) {
    let values: [(HeaderName, &'static str); 5] = [
        (CONTENT_TYPE, "text/html; charset=utf-8"),
        (CACHE_CONTROL, "no-store"),
        (CONTENT_SECURITY_POLICY, PAGE_POLICY),
        (X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (REFERRER_POLICY, "same-origin"),
    ];
    for (name, value) in values {
        response
            .headers_mut()
            .insert(name, HeaderValue::from_static(value));
    }
}

fn set_cookie(response: &mut Response<BoxBody>, value: &str, max_age_s: u64) {
    let cookie = format!(
        "{}={value}; Path=/console; Max-Age={max_age_s}; HttpOnly; SameSite=Strict",
        session::COOKIE_NAME
    );
    if let Ok(value) = HeaderValue::try_from(cookie) {
        response.headers_mut().insert(SET_COOKIE, value);
    }
}
