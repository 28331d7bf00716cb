//! The help of the command line.

use rosebend_replay::command::run;

#[test]
fn help_names_every_command_and_the_exit_codes() {
    for word in ["--help", "-h", "help"] {
        let output = run(&[word.to_owned()]).unwrap();
        for text in [
            "policy",
            "generate",
            "bench",
            "load",
            "run",
            "Exit codes: 0",
        ] {
            assert!(output.text.contains(text), "{word}: {text}");
        }
        assert!(output.holds);
    }
    let version = run(&["--version".to_owned()]).unwrap();
    assert!(version.text.starts_with("rosebend-replay "));
}
