//! Reading of settings: what is accepted, and what every error says.

use std::time::Duration;

use rosebend_state::settings::{
    CLI_SCHEMA, CliSettings, CustomerSettings, Document, ENTRY_SCHEMA, EngineSelection,
    EntrySettings, GATEWAY_SCHEMA, GatewaySettings, KeyKind, Presence, Role, SIDECAR_SCHEMA,
    SidecarSettings, Tokens, Unit, reference_page,
};

fn errors_of_entry(file: &[u8]) -> String {
    let document = Document::try_from(file).unwrap();
    EntrySettings::try_from(&document).unwrap_err().to_string()
}

fn example(name: &str) -> Vec<u8> {
    std::fs::read(format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[test]
fn the_examples_load() {
    let entry = Document::try_from(example("entry.ini").as_slice()).unwrap();
    insta::assert_debug_snapshot!(EntrySettings::try_from(&entry).unwrap());
    let sidecar = Document::try_from(example("sidecar.ini").as_slice()).unwrap();
    insta::assert_debug_snapshot!(SidecarSettings::try_from(&sidecar).unwrap());
    let gateway = Document::try_from(example("gateway.ini").as_slice()).unwrap();
    insta::assert_debug_snapshot!(GatewaySettings::try_from(&gateway).unwrap());
    let cli = Document::try_from(example("cli.ini").as_slice()).unwrap();
    insta::assert_debug_snapshot!(CliSettings::try_from(&cli).unwrap());
}

/// The template with values as the platform would fill them in.
#[test]
fn the_template_of_the_platform_gives_settings() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/gateway.ini");
    let mut text = std::fs::read_to_string(path).unwrap();
    let values = [
        ("{{node-name}}", "edge-newport-hall-1"),
        ("{{zone}}", "newport-hall"),
        ("{{listen.front}}", "10.1.0.38:8149"),
        ("{{listen.ready}}", "10.1.0.38:8141"),
        ("{{ip}}", "10.1.0.38"),
        ("{{internal-ports.0}}", "7380"),
        ("{{limits.cpu-share}}", "0.09"),
        ("{{bounds.grace-s}}", "8.5"),
        ("{{platform.address}}", "10.200.1.7:8142"),
        ("{{platform.writes-per-s}}", "800.0"),
        ("{{platform.row-bytes}}", "65536"),
        ("{{limits.memory-mb}}", "130"),
        ("{{limits.max-fds}}", "8200"),
    ];
    for (placeholder, value) in values {
        assert!(text.contains(placeholder), "{placeholder}");
        text = text.replace(placeholder, value);
    }
    let without_customers = settings_of(&text, &[]);
    insta::assert_debug_snapshot!(without_customers);
    let bounds = [
        ("bounds.strict-revoke", "true"),
        ("bounds.revoke-ms", "7000"),
        ("bounds.quota-window-s", "10"),
        ("bounds.quota-overage", "0.25"),
        ("bounds.quota-slack", "5"),
    ];
    let with_customers = settings_of(&text, &bounds);
    assert_eq!(
        with_customers.customers,
        CustomerSettings {
            keys_confirmed_within: Some(Duration::from_secs(7)),
            limit_window: Duration::from_secs(10),
            limit_overage_milli: 250,
            limit_slack: 5,
        }
    );
}

/// The settings of a template whose sections are kept where their value is
/// there, and left out otherwise.
fn settings_of(template: &str, present: &[(&str, &str)]) -> GatewaySettings {
    let mut text = template.to_owned();
    while let Some(at) = text.find("{{#").or_else(|| text.find("{{^")) {
        let is_negated = text[at..].starts_with("{{^");
        let name_end = at + text[at..].find("}}").unwrap();
        let name = text[at + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let inner_end = at + text[at..].find(&close).unwrap();
        let inner = text[name_end + 2..inner_end].to_owned();
        let value = present.iter().find(|(known, _)| *known == name);
        let kept = match (value, is_negated) {
            (Some((_, value)), false) => inner.replace("{{.}}", value),
            (None, true) => inner,
            _ => String::new(),
        };
        text.replace_range(at..inner_end + close.len(), &kept);
    }
    assert!(!text.contains("{{"), "{text}");
    let document = Document::try_from(text.as_bytes()).unwrap();
    GatewaySettings::try_from(&document).unwrap()
}

/// Guards against a selection of engines that is misread, or taken for another one.
#[test]
fn the_selection_of_engines_is_auto_scheduled_or_local() {
    let settings = |section: &str| {
        let text = format!(
            "{}\n{section}",
            String::from_utf8(example("gateway.ini")).unwrap()
        );
        GatewaySettings::try_from(&Document::try_from(text.as_bytes()).unwrap())
    };
    let selection = |section: &str| settings(section).unwrap().engine_selection;
    assert_eq!(selection(""), EngineSelection::Auto);
    assert_eq!(
        selection("[scheduling]\nengines = auto\n"),
        EngineSelection::Auto
    );
    assert_eq!(
        selection("[scheduling]\nengines = scheduled\n"),
        EngineSelection::Scheduled
    );
    assert_eq!(
        selection("[scheduling]\nengines = local\n"),
        EngineSelection::Local
    );
    assert!(settings("[scheduling]\nengines = central\n").is_err());
}

#[test]
fn the_reference_page_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/SETTINGS.md");
    assert_eq!(std::fs::read_to_string(path).unwrap(), reference_page());
}

#[test]
fn every_default_is_allowed_and_every_unit_is_in_the_name() {
    for schema in [ENTRY_SCHEMA, SIDECAR_SCHEMA, CLI_SCHEMA, GATEWAY_SCHEMA] {
        for key in schema.sections.iter().flat_map(|section| section.keys) {
            if let Presence::Default(value) = key.presence {
                assert_eq!(key.kind.check(value), Ok(()), "{}", key.name);
            }
            let suffix = match key.kind {
                KeyKind::Number(Unit::Milliseconds, _) => "_ms",
                KeyKind::Number(Unit::Bytes, _) => "_bytes",
                KeyKind::Decimal(Unit::Seconds, _) => "_s",
                KeyKind::Number(Unit::Tokens, _) => "tokens_limit",
                _ => "",
            };
            assert!(key.name.ends_with(suffix), "{}", key.name);
        }
    }
}

#[test]
fn all_errors_are_listed_with_their_lines() {
    let file = b"early = 1
[entry]
host = Entry A
host = entry-a
http_listen = localhost
peer_listen = 127.0.0.1:9000
http_workers = 0
colour = red
[timing]
lease_ms = soon
[weather]
sun = yes
[timing]
renew_ms = 1
[auth
tokens_file = tokens
nonsense
availability_zone = \xff\xfe";
    insta::assert_snapshot!(errors_of_entry(file));
}

#[test]
fn times_are_checked_against_each_other() {
    let file = String::from_utf8(example("entry.ini")).unwrap();
    let file = file.replace("lease_ms = 3000", "lease_ms = 1000");
    insta::assert_snapshot!(errors_of_entry(file.as_bytes()));
}

#[test]
fn an_empty_file_is_an_error() {
    assert!(Document::try_from(b" \r\n".as_slice()).is_err());
}

#[test]
fn line_ends_of_other_systems_are_read() {
    let file = b"[cli]\r\nurl = http://127.0.0.1:1\r\ntoken_file = t\r\n";
    let document = Document::try_from(file.as_slice()).unwrap();
    assert_eq!(document.sections()[0].properties[1].line, 3);
    assert!(CliSettings::try_from(&document).is_ok());
}

#[test]
fn tokens_name_their_bearer() {
    let tokens = Tokens::try_from(example("tokens").as_slice()).unwrap();
    let customer = tokens.identify("example-caribmar-token").unwrap();
    assert_eq!(
        (customer.role, customer.name.as_str()),
        (Role::Customer, "caribmar")
    );
    assert_eq!(tokens.identify("example-caribmar-tokem"), None);
    assert_eq!(tokens.identify(""), None);
    assert_eq!(
        tokens.host_token("entry-a"),
        Some("example-host-token-0001")
    );
    insta::assert_debug_snapshot!(tokens);
}

#[test]
fn errors_of_tokens_show_no_secret() {
    let file = b"operator desk short
secret-in-the-wrong-place desk example-operator-token
customer caribmar example-one-token-twice
customer coastal example-one-token-twice
customer caribmar
host \xff x";
    let error = Tokens::try_from(file.as_slice()).unwrap_err().to_string();
    assert!(
        !error.contains("secret") && !error.contains("example"),
        "{error}"
    );
    insta::assert_snapshot!(error);
}

/// Guards against limits that exceed what the host has.
#[test]
fn the_memory_of_clients_follows_from_that_of_the_host() {
    let derived = |section: &str| {
        let text = format!(
            "{}\n{section}",
            String::from_utf8(example("gateway.ini")).unwrap()
        );
        let document = Document::try_from(text.as_bytes()).unwrap();
        let clients = GatewaySettings::try_from(&document).unwrap().clients;
        let requests = (clients.request_bytes(), clients.max_body_bytes());
        (clients.max_connections(), requests, clients.answer_bytes())
    };
    assert_eq!(derived(""), (537, (17_600_000, 8_800_000), 17_600_000));
    assert_eq!(
        derived("[clients]\nmemory_mb = 512\nmax_descriptors = 600\n"),
        (100, (102_400_000, 51_200_000), 102_400_000)
    );
}

#[test]
fn entries_refuse_bodies_that_their_memory_does_not_hold() {
    let text = String::from_utf8(example("entry.ini")).unwrap();
    let file = format!("{text}\n[clients]\nmemory_mb = 20\nbody_timeout_s = 0\n");
    insta::assert_snapshot!(errors_of_entry(file.as_bytes()));
    let file = format!("{text}\n[clients]\nmemory_mb = 20\n");
    insta::assert_snapshot!(errors_of_entry(file.as_bytes()));
}
