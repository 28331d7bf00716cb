//! The operators' API: resources, changes, drain and status.
//!
//! The table is the truth: every request reads it, and a change is answered as
//! accepted only when it is durable there. The caller of [`handle`] has
//! checked that the request comes from an operator.
//!
//! | request | does |
//! |---|---|
//! | `GET /api/v1/KIND` | lists the resources of a kind |
//! | `GET /api/v1/KIND/NAME` | one resource |
//! | `PUT /api/v1/KIND/NAME?revision=N` | declares it; 0: it must not exist |
//! | `DELETE /api/v1/KIND/NAME?revision=N` | removes it |
//! | `POST /api/v1/endpoint/NAME/drain` | gives an endpoint no new work |
//! | `GET /api/v1/changes?after=N&wait_ms=M` | changes after a revision |
//! | `GET /api/v1/status?revision=N` | where a revision is in force |
//!
//! `PUT` and `DELETE` take `dry_run=true`, which checks everything and writes
//! nothing. `GET` and `DELETE` of `/api/v1/program/CUSTOMER/SESSION` are about
//! a program rather than a resource; [`as_program_request`] turns them into
//! the customer's own request.

use rosebend_protocol::problem::Problem;
use rosebend_transport::http_server::{HttpReply, HttpRequest};

mod changes;
mod context;
mod problems;
mod reading;
mod route;
mod status;
mod writing;

pub use self::{
    context::{HostView, LiveProcess, OperatorContext, WriteIds},
    route::as_program_request,
};
use self::{route::Route, writing::Operation};

/// Answers one request of an operator.
pub async fn handle(request: HttpRequest, operator: &str, context: &OperatorContext) -> HttpReply {
    match answer(&request, operator, context).await {
        Ok(reply) => reply,
        Err(problem) => HttpReply::problem(&problem),
    }
}

async fn answer(
    request: &HttpRequest,
    operator: &str,
    context: &OperatorContext,
) -> Result<HttpReply, Problem> {
    match Route::try_from(request)? {
        Route::List(kind) => reading::list(context, kind).await,
        Route::Get(key) => reading::get(context, &key).await,
        Route::Put(key) => {
            let operation = Operation::put(request, key)?;
            writing::run(context, operator, operation).await
        }
        Route::Delete(key) => {
            let operation = Operation::delete(request, key)?;
            writing::run(context, operator, operation).await
        }
        Route::Drain(key) => writing::drain(context, operator, &key).await,
        Route::Changes => changes::list(context, request).await,
        Route::Status => status::show(context, request).await,
    }
}
