//! Finds route, client account, class and pool of a request.

use config::{Catalog, RouteSpec};
use control::{Idempotency, RequestHead};
use http_types::Request;
use model::prelude::*;

use super::{
    account_key::AccountKey,
    outgoing::Outgoing,
    prefix::{BodyFields, prefix_of},
    problem::Problem,
};

/// A request whose head was read and allowed; its body is still to come.
#[derive(Debug)]
pub(super) struct PendingRequest {
    route: RouteSpec,
    class: ClassId,
    key: Option<AccountKey>,
    account: Option<AccountId>,
    idempotency_key: Option<String>,
    resend: bool,
    outgoing: Outgoing,
}

/// A request that was read whole.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    /// What the control state needs to know.
    pub(super) head: RequestHead,
    /// What backend servers get.
    pub(super) outgoing: Outgoing,
}

/// Names a request and tells when it came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Names the request in this process.
    pub(super) no: RequestNo,
    /// Names the request to callers and backend servers.
    pub(super) id: RequestId,
    /// When its head had come.
    pub(super) at: Time,
}

impl PendingRequest {
    /// Judges a request by its head.
    pub(super) fn new(catalog: &Catalog, req: &Request) -> Result<Self, Problem> {
        let key = AccountKey::of(req)?;
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
            idempotency_key: field(req, "idempotency-key")?.map(str::to_owned),
            resend: field(req, "x-resend")?.is_some_and(|it| it.eq_ignore_ascii_case("true")),
            outgoing: Outgoing::new(req, key.as_ref()),
            key,
        })
    }

    /// Takes the body and drops the key.
    pub(super) fn body(
        self,
        catalog: &Catalog,
        arrival: Arrival,
        body: Vec<u8>,
    ) -> Result<RoutedRequest, Problem> {
        if self.key.as_ref().is_some_and(|it| it.is_in_body(&body)) {
            return Err(Problem::not_run(Reason::BadRequest, "the body contains the key"));
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
        Ok(RoutedRequest { head, outgoing: self.outgoing.body(body) })
    }

    fn idempotency(&self) -> Option<Idempotency> {
        let key = self.idempotency_key.as_deref()?;
        // Callers of an open route have no account and share one space of keys.
        let account = self.account.unwrap_or(AccountId(0));
        let key = IdempotencyId::of(account, self.route.id, key);
        Some(Idempotency { key, resend: self.resend })
    }
}

fn route<'a>(catalog: &'a Catalog, req: &Request) -> Result<&'a RouteSpec, Problem> {
    let path = req.url().path();
    match catalog.route(req.method().as_ref(), path) {
        Some(route) => Ok(route),
        None if catalog.has_path(path) => Err(Problem::wrong_method()),
        None if catalog.version == Version(0) => Err(Refusal::not_run(Reason::NotReady).into()),
        None => Err(Refusal::not_run(Reason::NoRoute).into()),
    }
}

fn class(route: &RouteSpec, req: &Request) -> Result<ClassId, Problem> {
    let unknown = || Problem::not_run(Reason::BadRequest, "the route does not have this class");
    match field(req, "x-class")? {
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
        return Err(Problem::not_run(Reason::BadRequest, "the body does not name a model"));
    };
    let pool = PoolId::of(model);
    if !catalog.pools.contains_key(&pool) {
        return Err(Problem::not_run(Reason::NoRoute, "there is no such model"));
    }
    Ok(pool)
}

/// Returns a header field that may occur only once.
fn field<'a>(req: &'a Request, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(values) = req.header(name) else { return Ok(None) };
    if values.iter().count() > 1 {
        return Err(Problem::not_run(Reason::BadRequest, "a header field is given twice"));
    }
    Ok(Some(values.last().as_str().trim()))
}

fn no_key() -> Problem {
    Refusal::not_run(Reason::NoKey).into()
}
