//! Parts that the scripts of the review share.
//!
//! A script starts the project's gateways, its store and its endpoints as processes on
//! loopback addresses, sends requests as clients of the platform do, and judges what the
//! clients and the endpoints have seen.
//!
//! | topic | module |
//! |---|---|
//! | requests of clients and their responses | [`http`] |
//! | processes and their end | [`process`] |
//! | the proxy between the gateways and the store | [`store_proxy`] |
//! | a small deployment | [`site`] |
//! | turns of programs, with the retries of a client | [`program`] |
//! | the rule LOST | [`lost`] |
//! | the record of a run | [`record`] |
//! | random numbers and ids | [`random`] |

pub mod http;
pub mod lost;
pub mod process;
pub mod program;
pub mod random;
pub mod record;
pub mod site;
pub mod store_proxy;

use std::process::ExitCode;

/// The result of a script.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The script could not run as intended.
    CouldNotRun,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        Self::from(match verdict {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::CouldNotRun => 2,
        })
    }
}

/// Returns whether the script applies its disruption, which `TROUBLE=0` turns off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
