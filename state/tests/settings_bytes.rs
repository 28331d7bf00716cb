//! Settings files and token files of any content: each is accepted with values
//! in their ranges, or refused with defects that name a line.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use rosebend_state::settings::{
    CliSettings, Document, EntrySettings, GatewaySettings, SidecarSettings, Tokens,
};

/// Longest time that any key allows: a day, of `retention_margin_ms`.
const LONGEST: Duration = Duration::from_secs(24 * 3_600);

fn example(name: &str) -> String {
    let path = format!("{}/../examples/{name}.ini", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

/// Reads a file as the settings of every binary; panics on what none may give.
fn read(bytes: &[u8]) {
    let Ok(document) = Document::try_from(bytes) else {
        return;
    };
    if let Ok(settings) = GatewaySettings::try_from(&document) {
        let times = [
            settings.stop_grace,
            settings.retention_margin,
            settings.host_expiry,
            settings.store.timeout,
        ];
        assert!(times.iter().all(|time| *time <= LONGEST), "{settings:?}");
        assert!(settings.store.writes_per_s > 0 && settings.store.row_bytes > 0);
    }
    let refused = [
        EntrySettings::try_from(&document).err(),
        SidecarSettings::try_from(&document).err(),
        CliSettings::try_from(&document).err(),
    ];
    for error in refused.into_iter().flatten() {
        assert!(!error.to_string().is_empty());
    }
}

fn odd_value() -> impl Strategy<Value = String> {
    let words = vec![
        "",
        "0",
        "-1",
        "1e400",
        "-1e400",
        "inf",
        "NaN",
        "nan",
        "+8",
        "1e3",
        "0x10",
        "8.0",
        "18446744073709551615",
        "18446744073709551616",
        "127.0.0.1",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "[::1]:80",
        "http://:0",
        "=",
        "[gateway]",
        ";",
        "{{value}}",
    ];
    prop_oneof![
        select(words).prop_map(str::to_owned),
        any::<f64>().prop_map(|number| number.to_string()),
        any::<u64>().prop_map(|number| number.to_string()),
        "\\PC{0,40}",
        Just("x".repeat(200_000)),
    ]
}

#[test]
fn numbers_out_of_range_are_refused_with_their_line() {
    let file = example("gateway");
    let line = |text: &str| {
        text.lines()
            .position(|line| line.starts_with("stop_grace_s"))
    };
    let at = line(&file).unwrap();
    for value in ["1e400", "inf", "NaN", "-8", "0", "601", "1e308", ""] {
        let mut lines: Vec<String> = file.lines().map(str::to_owned).collect();
        lines[at] = format!("stop_grace_s = {value}");
        let document = Document::try_from(lines.join("\n").as_bytes()).unwrap();
        let error = GatewaySettings::try_from(&document)
            .unwrap_err()
            .to_string();
        assert!(
            error.contains(&format!("line {}", at + 1)),
            "{value}: {error}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn arbitrary_bytes_stop_nobody(bytes in any::<Vec<u8>>()) {
        read(&bytes);
        let _ = Tokens::try_from(bytes.as_slice());
    }

    #[test]
    fn lines_of_any_kind_stop_nobody(lines in vec("(\\[[a-z]{0,8}\\]?|[a-z_]{0,12} ?=? ?|;|\r|\u{feff})\\PC{0,20}", 0..20)) {
        read(lines.join("\n").as_bytes());
        let _ = Tokens::try_from(lines.join("\n").as_bytes());
    }

    #[test]
    fn changed_files_are_accepted_in_range_or_refused(
        binary in select(vec!["gateway", "entry", "sidecar", "cli"]),
        changes in vec((any::<Index>(), proptest::option::weighted(0.8, odd_value()), any::<bool>()), 1..4),
    ) {
        let mut lines: Vec<String> = example(binary).lines().map(str::to_owned).collect();
        for (at, value, is_twice) in changes {
            let at = at.index(lines.len());
            let key = lines[at].split_once('=').map(|(key, _)| key.to_owned());
            let Some(value) = value else {
                lines[at].clear();
                continue;
            };
            let line = format!("{}={value}", key.unwrap_or_default());
            match is_twice {
                true => lines.insert(at, line),
                false => lines[at] = line,
            }
        }
        read(lines.join("\n").as_bytes());
    }
}
