//! Loading of settings from files and the answer to `--check`.

use std::{fs, path::PathBuf};

use rosebend_state::settings::EntrySettings;
use rosebend_transport::settings_file::check_settings;

/// A folder of this test alone, with an entry's settings and tokens.
fn folder(name: &str, tokens: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).unwrap();
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/entry.ini");
    let path = folder.join("tokens");
    let settings = fs::read_to_string(example).unwrap();
    let settings = settings.replace("examples/tokens", path.to_str().unwrap());
    fs::write(folder.join("entry.ini"), settings).unwrap();
    fs::write(path, tokens).unwrap();
    folder
}

fn check(path: PathBuf) -> Result<String, String> {
    check_settings(&path, |settings: &EntrySettings| &settings.tokens_file)
}

#[test]
fn accepted_settings_are_said_so() {
    let folder = folder("accepted", "operator desk example-operator-token\n");
    let said = check(folder.join("entry.ini")).unwrap();
    assert!(
        said.ends_with("entry.ini: accepted, with 1 tokens"),
        "{said}"
    );
}

#[test]
fn every_defect_names_its_file_and_line() {
    let folder = folder("refused", "operator desk\nhost a short\n");
    let said = check(folder.join("entry.ini")).unwrap_err();
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].contains("tokens: line 1: ") && lines[1].contains("tokens: line 2: "));
    assert!(
        check(folder.join("absent.ini"))
            .unwrap_err()
            .contains("absent.ini")
    );
}
