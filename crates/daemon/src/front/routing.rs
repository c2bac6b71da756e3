//! Routing: finds the route, the client account, the class and the pool of a request.

use config::{Catalog, RouteSpec};
use control::{Idempotency, RequestHead};
use http_types::Request;
use model::prelude::*;

use super::{
    account_key::AccountKey,
    outgoing::OutgoingRequest,
    prefix::{BodyFields, prefix_of},
    problem::Problem,
};

/// A request whose head was read and accepted, but not its body.
#[derive(Debug)]
pub(super) struct PendingRequest {
    route: RouteSpec,
    class: ClassId,
    key: Option<AccountKey>,
    account: Option<AccountId>,
    idempotency_key: Option<String>,
    resend: bool,
    outgoing: OutgoingRequest,
}

/// A request that was read completely.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    /// The request as the reducer gets it.
    pub(super) head: RequestHead,
    /// The request as backend servers get it.
    pub(super) outgoing: OutgoingRequest,
}

/// The identity of a request and the time of its arrival.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// The request's number in this process.
    pub(super) no: RequestNo,
    /// The request's id, which callers and backend servers get.
    pub(super) id: RequestId,
    /// When its head was read.
    pub(super) at: Time,
}

impl PendingRequest {
    /// Checks and routes a request by its head.
    pub(super) fn new(catalog: &Catalog, req: &Request) -> Result<Self, Problem> {
        let key = AccountKey::from_request(req)?;
        let route = route(catalog, req)?;
        let account = match &key {
            _ if route.open => None,
            Some(key) => Some(catalog.account_of(key.hash()).ok_or_else(no_key)?),
            None => return Err(no_key()),
        };
        Ok(Self {
            class: class(route, req)?,
            route: route.clone(),
            account,
            idempotency_key: single_field(req, "idempotency-key")?.map(str::to_owned),
            resend: single_field(req, "x-resend")?
                .is_some_and(|value| value.eq_ignore_ascii_case("true")),
            outgoing: OutgoingRequest::new(req, key.as_ref()),
            key,
        })
    }

    /// Adds the body, and drops the key.
    pub(super) fn with_body(
        self,
        catalog: &Catalog,
        arrival: Arrival,
        body: Vec<u8>,
    ) -> Result<RoutedRequest, Problem> {
        if self.key.as_ref().is_some_and(|key| key.occurs_in_body(&body)) {
            return Err(Problem::not_run(Reason::BadRequest, "the body contains the API key"));
        }
        let fields = BodyFields::parse(&body);
        let head = RequestHead {
            no: arrival.no,
            id: arrival.id,
            arrived: arrival.at,
            route: self.route.id,
            pool: pool(&self.route, catalog, fields.as_ref())?,
            class: self.class,
            idempotent: self.route.idempotent,
            key: self.key.as_ref().filter(|_| !self.route.open).map(AccountKey::hash),
            prefix: prefix_of(fields.as_ref(), &body),
            idempotency: self.idempotency(),
        };
        Ok(RoutedRequest { head, outgoing: self.outgoing.with_body(body) })
    }

    fn idempotency(&self) -> Option<Idempotency> {
        let key = self.idempotency_key.as_deref()?;
        // Callers of an open route have no account; their idempotency keys share one namespace.
        let account = self.account.unwrap_or(AccountId(0));
        let key = IdempotencyId::of(account, self.route.id, key);
        Some(Idempotency { key, resend: self.resend })
    }
}

fn route<'a>(catalog: &'a Catalog, req: &Request) -> Result<&'a RouteSpec, Problem> {
    let path = req.url().path();
    match catalog.route(req.method().as_ref(), path) {
        Some(route) => Ok(route),
        None if catalog.has_path(path) => Err(Problem::method_not_allowed()),
        None if catalog.version == Version(0) => Err(Refusal::not_run(Reason::NotReady).into()),
        None => Err(Refusal::not_run(Reason::NoRoute).into()),
    }
}

fn class(route: &RouteSpec, req: &Request) -> Result<ClassId, Problem> {
    let unknown = || Problem::not_run(Reason::BadRequest, "the route does not allow this class");
    match single_field(req, "x-class")? {
        None => route.classes.first().copied().ok_or_else(unknown),
        Some(name) => {
            let id = ClassId::of(name);
            route.classes.contains(&id).then_some(id).ok_or_else(unknown)
        }
    }
}

fn pool(
    route: &RouteSpec,
    catalog: &Catalog,
    fields: Option<&BodyFields>,
) -> Result<PoolId, Problem> {
    if let Some(pool) = route.pool {
        return Ok(pool);
    }
    let Some(fields) = fields else {
        return Err(Problem::not_run(Reason::BadRequest, "the body is not a JSON object"));
    };
    let Some(model) = &fields.model else {
        return Err(Problem::not_run(Reason::BadRequest, "the body has no field \"model\""));
    };
    let pool = PoolId::of(model);
    if !catalog.pools.contains_key(&pool) {
        return Err(Problem::not_run(Reason::NoRoute, "there is no such model"));
    }
    Ok(pool)
}

/// Returns the value of a header field, which must not be repeated.
fn single_field<'a>(req: &'a Request, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(values) = req.header(name) else { return Ok(None) };
    if values.iter().count() > 1 {
        return Err(Problem::not_run(Reason::BadRequest, "a header field is repeated"));
    }
    Ok(Some(values.last().as_str().trim()))
}

fn no_key() -> Problem {
    Refusal::not_run(Reason::NoKey).into()
}
