//! What a gateway knows of the deployment that it serves: the routes that
//! operators declare, the endpoints that announce themselves, and the rows of
//! the store in which both lie.
//!
//! These are the project's own types. The `platform` crate decodes what the
//! wire carries into them; nothing else knows the wire's names.

mod customers;
mod endpoint;
mod request;
mod routes;
mod store;

pub use self::{
    customers::{
        Customer, CustomerKey, CustomerLimit, CustomerName, Customers, KeyDigest, KeyOwner,
        UnusableCustomer,
    },
    endpoint::{
        EndpointIdentity, EndpointLoad, EndpointRecord, MAX_WORK_TIME_PERCENT,
        valid_work_time_percent,
    },
    request::{CallHeader, ProgramHeader, PromptPart, TokenCounts},
    routes::{
        CallerLimits, Deployment, Engine, Route, RouteKind, RouteTarget, Service, UnusableRoute,
    },
    store::{
        Condition, MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ENTRIES, Row, RowId, RowRange, RowWrite,
        Transaction,
    },
};

/// Name of a service, as operators declare it.
pub type ServiceName = String;
/// Id of an endpoint, which it may keep when it starts again; [`EndpointIdentity`]
/// tells its starts apart.
pub type InstanceId = String;
/// Id of one attempt of a caller; each retry has its own.
pub type AttemptId = String;
/// Id of an event of a stream; ids grow within a stream.
pub type EventId = u64;
/// Id of a program, as callers name it.
pub type ProgramKey = String;
/// Version of the declared routes; it only grows.
pub type DeploymentVersion = u64;
/// Version of a row; taken from one counter that grows with each transaction,
/// and zero for a row that does not exist.
pub type RowVersion = u64;
