//! The reference page of all settings, written from the schemas.

use std::fmt::Write;

use super::{
    CLI_SCHEMA, ENTRY_SCHEMA, GATEWAY_SCHEMA, SIDECAR_SCHEMA,
    schema::{Key, KeyKind, Presence, Schema, SectionSchema},
};

const HEAD: &str = "# Settings

This page is written from the schemas in `state/src/settings/`; a test compares
the two. Write it anew with
`cargo run -p rosebend-state --example settings_reference > docs/SETTINGS.md`.

Settings are INI files: `[SECTION]` headers, `KEY = VALUE` lines, and comments
on lines that start with `;`. A value goes to the end of its line. Unknown
sections and keys, a key that stands twice and text that is not UTF-8 are
errors with their line numbers; all errors of a file are listed at once.
`--check` lists them and exits. Annotated examples stand under `examples/`.

The tokens file has one token a line: a role (`operator`, `customer` or
`host`), a name and the token of 16 to 256 printable ASCII characters. Lines
that start with `#` are passed over. A customer's token names the customer. A
name may have several tokens while one replaces another. Tokens are compared in
constant time and never written to a log.
";

/// The reference page of all settings, in Markdown.
pub fn reference_page() -> String {
    let mut page = HEAD.to_owned();
    for schema in [ENTRY_SCHEMA, SIDECAR_SCHEMA, CLI_SCHEMA, GATEWAY_SCHEMA] {
        add_schema(&mut page, &schema);
    }
    page
}

fn add_schema(page: &mut String, schema: &Schema) {
    write!(page, "\n## {}\n", schema.program).expect("writing to a string does not fail");
    for section in schema.sections {
        add_section(page, section);
    }
}

fn add_section(page: &mut String, section: &SectionSchema) {
    let head = "| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n";
    write!(page, "\n### [{}]\n\n{head}", section.name).expect("writing to a string does not fail");
    for key in section.keys {
        page.push_str(&row(key));
    }
}

fn row(key: &Key) -> String {
    let unit = match &key.kind {
        KeyKind::Number(unit, _) | KeyKind::Decimal(unit, _) => unit.name(),
        _ => "",
    };
    let default = match key.presence {
        Presence::Required => "required".to_owned(),
        Presence::Optional => "none".to_owned(),
        Presence::Default(value) => format!("`{value}`"),
    };
    let cells = [
        format!("`{}`", key.name),
        unit.to_owned(),
        default,
        key.kind.allowed(),
        key.meaning.to_owned(),
    ];
    format!("| {} |\n", cells.join(" | "))
}
