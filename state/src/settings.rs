//! Settings of the binaries, read from INI files.
//!
//! Reading goes in three steps, each of which collects all of its errors:
//!
//! 1. [`Document`]: the lines of the file as sections and keys, with their
//!    line numbers.
//! 2. [`Values`]: a document checked against the [`Schema`] of a binary, which
//!    names every key with its unit, default and allowed range.
//! 3. [`EntrySettings`], [`SidecarSettings`] and [`CliSettings`]: typed values,
//!    checked against each other.
//!
//! ```
//! use rosebend_state::settings::{CliSettings, Document};
//!
//! let file = b"[cli]\nurl = http://127.0.0.1:8080\ntoken_file = operator.token\n";
//! let document = Document::try_from(file.as_slice())?;
//! let settings = CliSettings::try_from(&document)?;
//! assert_eq!(settings.url, "http://127.0.0.1:8080");
//! # Ok::<(), rosebend_state::settings::SettingsError>(())
//! ```
//!
//! The same schemas give the reference page, by [`reference_page`].

mod cli;
mod clients;
mod common;
mod document;
mod entry;
mod error;
mod gateway;
mod reference;
mod schema;
mod sidecar;
mod tokens;
mod values;

pub use self::{
    cli::{CLI_SCHEMA, CliSettings},
    clients::ClientSettings,
    common::{LogLevel, LogSettings, PlatformSettings},
    document::{Document, Property, Section},
    entry::{ENTRY_SCHEMA, EntrySettings, TimingSettings},
    error::{Defect, SettingsError},
    gateway::{
        CustomerSettings, EngineSelection, EngineSelectionError, GATEWAY_SCHEMA, GatewaySettings,
        StoreSettings,
    },
    reference::reference_page,
    schema::{Key, KeyKind, Presence, Schema, SectionSchema, Unit},
    sidecar::{EndpointKind, LimitSettings, SIDECAR_SCHEMA, SidecarSettings},
    tokens::{Identity, Role, Tokens, TokensError},
    values::Values,
};
