//! `rosebend-replay`: replays traces, makes them, and measures decisions.

use std::process::ExitCode;

use rosebend_replay::command;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match command::run(&arguments) {
        Ok(output) => {
            print!("{}", output.text);
            ExitCode::from(u8::from(!output.holds))
        }
        Err(error) => {
            eprintln!("rosebend-replay: {error}");
            ExitCode::from(2)
        }
    }
}
