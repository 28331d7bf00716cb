//! The scripts of the review's cases. Each exits with 1 if its rule was broken, with 0 if it
//! held, and with 2 if the case could not run.

mod client;
mod door;
mod granted_budget;
mod late_turns;
mod long_history;
mod lost_hosts;
mod quota;
mod site;

use std::process::exit;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let record = arguments.next().unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = async {
        match name.as_str() {
            "long-history" => long_history::run(has_trouble, &record).await,
            "lost-hosts" => lost_hosts::run(has_trouble, &record).await,
            "late-turns" => late_turns::run(has_trouble, &record).await,
            "granted-budget" => granted_budget::run(has_trouble, &record).await,
            "quota" => quota::run(has_trouble, &record).await,
            _ => Err(format!("there is no case {name:?}").into()),
        }
    };
    match actix_rt::System::new().block_on(case) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
