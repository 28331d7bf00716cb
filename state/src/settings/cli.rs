//! Settings of the command line `rosebend`.

use std::path::PathBuf;

use super::{
    document::Document,
    error::SettingsError,
    schema::{Key, KeyKind, Presence, Schema, SectionSchema},
    values::Values,
};

/// Settings of the operators' command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CliSettings {
    /// Base URL of an entry or of the balancer before the entries.
    pub url: String,
    /// File whose first line is the operator's token.
    pub token_file: PathBuf,
}

/// Settings of `rosebend`.
pub const CLI_SCHEMA: Schema = Schema {
    program: "rosebend",
    sections: &[SectionSchema {
        name: "cli",
        keys: &[
            Key {
                name: "url",
                kind: KeyKind::Url,
                presence: Presence::Required,
                meaning: "An entry, or the balancer before the entries.",
            },
            Key {
                name: "token_file",
                kind: KeyKind::Path,
                presence: Presence::Required,
                meaning: "File whose first line is the operator's token.",
            },
        ],
    }],
};

impl TryFrom<&Document> for CliSettings {
    type Error = SettingsError;

    fn try_from(document: &Document) -> Result<Self, SettingsError> {
        let values = Values::check(document, &CLI_SCHEMA)?;
        Ok(Self {
            url: values.text("cli", "url"),
            token_file: values.path("cli", "token_file"),
        })
    }
}
