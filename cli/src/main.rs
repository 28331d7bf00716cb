//! `rosebend`: the operators' command line.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (mut out, mut err) = (io::stdout(), io::stderr());
    let run = rosebend::run(&arguments, &mut out, &mut err);
    let exit = actix_rt::System::new().block_on(run);
    ExitCode::from(exit.code())
}
