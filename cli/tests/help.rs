//! The help of every sub-command, and what is said about a wrong command line.

use rosebend::{report::Exit, verb::Verb};

fn run(arguments: &[&str]) -> (Exit, String, String) {
    let arguments: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = actix_rt::System::new().block_on(rosebend::run(&arguments, &mut out, &mut err));
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (exit, text(out), text(err))
}

#[test]
fn every_command_has_help_with_examples() {
    insta::assert_snapshot!("overview", run(&["--help"]).1);
    for verb in Verb::ALL {
        let (exit, help, _) = run(&[verb.word(), "--help"]);
        assert_eq!(exit, Exit::Done);
        // Explaining asks no entry, so its examples name none.
        let example = match verb {
            Verb::Explain => "    rosebend explain 9c41d07be2a35f68".to_owned(),
            _ => format!("    rosebend {} --config", verb.word()),
        };
        assert!(help.contains(&example), "{help}");
        insta::assert_snapshot!(verb.word(), help);
    }
}

#[test]
fn a_wrong_command_line_is_said_so() {
    let token = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/operator.token");
    let wrong: [&[&str]; 14] = [
        &[],
        &["fly"],
        &["get", "--colour"],
        &["get"],
        &["get", "customer"],
        &["get", "customer/Caribmar"],
        &["list", "weather"],
        &["apply"],
        &["apply", "-f", "a.json", "b.json"],
        &["watch", "--after", "yesterday"],
        &["program", "hide", "caribmar/renewal-17"],
        &["end", "renewal-17"],
        &["status", "--output", "xml"],
        &["status", "--url", "http://127.0.0.1:1"],
    ];
    let mut said = String::new();
    for arguments in wrong {
        let (exit, out, err) = run(arguments);
        assert_eq!((exit.code(), out.as_str()), (2, ""), "{arguments:?}");
        said.push_str(&err);
    }
    let (_, _, err) = run(&["status", "--url", "127.0.0.1:8080", "--token-file", token]);
    said.push_str(&err);
    insta::assert_snapshot!(said);
}
