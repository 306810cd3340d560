//! A caller's request, parsed once into typed form.

use std::cell::{Cell, OnceCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri, header};

use linnet_quarantine::{RequestSubject, RunTag};
use linnet_routing::{Account, Route, RouteKind, RouteTable};
use linnet_streams::StreamOrigin;

use crate::allowed_halls::AllowedHalls;
use crate::caller_headers::{header_text, loggable, malformed_header};
use crate::open_request::OpenRequestGuard;
use crate::prompt::{Prompt, parse_prompt};
use crate::protocol::HeaderNames;
use crate::rank::Rank;
use crate::request_sends::RequestSends;
use crate::takeup_trace::TakeupTrace;
use crate::target::Target;
use crate::{Refusal, RefusalReason};

/// Maximum number of pieces that a request may have at one stage.
const MAX_PIECES_PER_STAGE: u32 = 4_096;

/// A request that passed validation.
pub(crate) struct CallerRequest {
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) account: Option<String>,
    /// The data halls in which it may run.
    pub(crate) allowed_halls: AllowedHalls,
    pub(crate) rank: Rank,
    pub(crate) config_version: u64,
    pub(crate) arrived_at: Instant,
    /// When its last byte was read.
    pub(crate) read_at: Instant,
    /// When it times out, by the caller's deadline or the route's timeout.
    pub(crate) deadline: Instant,
    pub(crate) prompt: Option<Rc<Prompt>>,
    pub(crate) piece_counts: Vec<u32>,
    pub(crate) piece_key: String,
    /// Counts the request as in flight until its response has ended.
    pub(crate) in_flight_guard: Option<OpenRequestGuard>,
    /// Identifies the request across repeated attempts and entry hosts; computed on first use.
    pub(crate) subject: OnceCell<RequestSubject>,
    /// Whether it is suspected of crashing targets, and so is sent where the fewest other requests
    /// run.
    pub(crate) isolated: Cell<bool>,
    /// How long before its arrival the caller first sent it.
    pub(crate) age: Duration,
    /// Whether it was admitted although it will miss its objective.
    pub(crate) is_late: Cell<bool>,
    /// The delay of this host when it was admitted.
    pub(crate) host_delay: Cell<Duration>,
    /// How often it was sent to targets.
    pub(crate) sends: RequestSends,
    /// The run of its present sending, once that counts for the parts of its prompt.
    pub(crate) counted_run: Cell<Option<RunTag>>,
    /// The only software version whose targets may run it; set once its caller has events of a
    /// stream.
    pub(crate) bound_version: OnceCell<String>,
    /// Whether it takes up a stream.
    pub(crate) takes_up_stream: bool,
    /// What the request waits for, if it takes up a stream.
    pub(crate) takeup: OnceCell<TakeupTrace>,
}

impl CallerRequest {
    /// Returns the subject that identifies the request when it is sent again, to this or another
    /// entry host.
    pub(crate) fn subject(&self) -> &RequestSubject {
        self.subject.get_or_init(|| {
            let host = self.headers.get(header::HOST);
            let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            let account = self.account.as_deref().unwrap_or_default();
            RequestSubject::new(account, self.method.as_str(), [host, path], &self.body)
        })
    }

    /// Lets only targets of the software version of a stream's origin run the request from now on.
    pub(crate) fn bind_origin(&self, origin: &StreamOrigin) {
        self.bound_version.get_or_init(|| origin.version.clone());
    }

    /// Returns whether another target may go on with the stream of the request: it may run several times,
    /// and the version that began the stream is known.
    pub(crate) fn may_resume(&self) -> bool {
        self.route.is_repeatable() && self.bound_version.get().is_some()
    }

    /// Returns whether a target may run the request, by its data hall and its software version.
    pub(crate) fn allows_target(&self, target: &Target) -> bool {
        let bound = self.bound_version.get();
        self.allowed_halls.allows(&target.hall)
            && bound.is_none_or(|version| *version == target.version)
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time until the objective is missed. The objective of a stream is its first event, which
    /// the caller of one that is taken up has; that one only has to go on before its deadline.
    pub(crate) fn objective_left(&self) -> Duration {
        if self.takes_up_stream {
            return self.time_left();
        }
        let objective = Duration::from_millis(self.route.objective_ms);
        objective.saturating_sub(self.age + self.arrived_at.elapsed())
    }
}

/// Returns whether callers may take up the streams of a request.
pub(crate) fn is_resumable(request: &CallerRequest) -> bool {
    has_resumable_streams(&request.route)
}

fn has_resumable_streams(route: &Route) -> bool {
    route.kind == RouteKind::Streaming && route.is_repeatable()
}

/// Parses the head of a request against the routing configuration.
///
/// # Errors
///
/// A refusal if no route matches, the key is missing or unknown, or a header is malformed.
pub(crate) fn parse_request(
    table: &RouteTable,
    names: &HeaderNames,
    halls: &BTreeMap<String, String>,
    head: http::request::Parts,
    arrived_at: Instant,
) -> Result<CallerRequest, Refusal> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let route = table.find_route(host, head.uri.path()).ok_or_else(|| {
        let path = loggable(&format!("{host}{}", head.uri.path()));
        let detail = format!("no route for host and path {path}");
        Refusal::new(RefusalReason::NoRoute, detail)
    })?;
    let account = find_account(table, route, &head.headers)?;
    let id = header_text(&head.headers, &names.request_id)
        .unwrap_or_default()
        .to_owned();
    let deadline = parse_deadline(&head.headers, names, route)?;
    let prompt = parse_prompt(&head.headers, names)?.map(Rc::new);
    let piece_counts = parse_piece_counts(&head.headers, names, route)?;
    let takes_up_stream =
        has_resumable_streams(route) && head.headers.contains_key(&names.last_event);
    let piece_key = header_text(&head.headers, &names.piece_key)
        .unwrap_or_default()
        .to_owned();
    Ok(CallerRequest {
        id,
        rank: Rank {
            account_priority: account
                .and_then(|account| account.priority)
                .unwrap_or(route.priority),
            route_priority: route.priority,
        },
        allowed_halls: AllowedHalls::new(
            halls,
            &route.regions,
            account.map_or(&[], |account| &account.regions),
        ),
        account: account.map(|account| account.name.clone()),
        route: route.clone(),
        config_version: table.config().version,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: Bytes::new(),
        arrived_at,
        read_at: arrived_at,
        deadline: arrived_at + deadline,
        prompt,
        piece_counts,
        piece_key,
        in_flight_guard: None,
        subject: OnceCell::new(),
        isolated: Cell::new(false),
        age: Duration::ZERO,
        host_delay: Cell::default(),
        is_late: Cell::new(false),
        sends: RequestSends::default(),
        counted_run: Cell::default(),
        bound_version: OnceCell::new(),
        takes_up_stream,
        takeup: OnceCell::new(),
    })
}

fn find_account<'a>(
    table: &'a RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Account>, Refusal> {
    if !table.needs_key(route) {
        return Ok(None);
    }
    let authorization = header_text(headers, &header::AUTHORIZATION);
    let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
    let account = key.and_then(|key| table.find_account(key.trim()));
    match account {
        Some(account) => Ok(Some(account)),
        None => {
            let fault = key.map_or("missing", |_| "unknown");
            let detail = format!(
                "API key {fault} in configuration version {}; route={}",
                table.config().version,
                route.name
            );
            Err(Refusal::new(RefusalReason::Unauthorized, detail))
        }
    }
}

fn parse_deadline(
    headers: &HeaderMap,
    names: &HeaderNames,
    route: &Route,
) -> Result<Duration, Refusal> {
    let route_timeout_ms = route.timeout_ms;
    let requested_ms = match headers.get(&names.deadline_ms) {
        None => route_timeout_ms,
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|value| value.trim().parse().ok())
            .ok_or_else(|| malformed_header(headers, &names.deadline_ms, "milliseconds"))?,
    };
    Ok(Duration::from_millis(route_timeout_ms.min(requested_ms)))
}

fn parse_piece_counts(
    headers: &HeaderMap,
    names: &HeaderNames,
    route: &Route,
) -> Result<Vec<u32>, Refusal> {
    if route.stages.is_empty() {
        return Ok(Vec::new());
    }
    // Without the header every stage has one piece.
    let Some(counts) = header_text(headers, &names.piece_counts) else {
        return Ok(vec![1; route.stages.len()]);
    };
    let counts: Option<Vec<u32>> = counts
        .split(',')
        .map(|count| {
            count
                .trim()
                .parse()
                .ok()
                .filter(|count| *count <= MAX_PIECES_PER_STAGE)
        })
        .collect();
    let mut counts = counts.ok_or_else(|| {
        let expected = format!("COUNT,... of at most {MAX_PIECES_PER_STAGE}");
        malformed_header(headers, &names.piece_counts, &expected)
    })?;
    // The caller may have counted the stages of an older configuration version.
    counts.resize(route.stages.len(), 0);
    Ok(counts)
}
