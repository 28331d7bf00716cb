//! Whether each customer gets its share while another floods.
//!
//! Work is counted in engine time. In windows of equal length, a customer is
//! due the least of what it had open at the start of the window and its equal
//! part of what was served in it. The report gives the customer that fell
//! furthest behind what was due to it over all windows, apart from the one
//! that asked for most.

use std::collections::BTreeMap;

/// Length of a window.
const WINDOW_US: u64 = 10_000_000;

/// Work of one customer in one window, in microseconds of an engine.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    asked_us: u64,
    served_us: u64,
}

/// Work asked for and served, by window and customer.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    windows: BTreeMap<u64, BTreeMap<String, Work>>,
}

impl Shares {
    /// Notes a call that came.
    pub fn asked(&mut self, now_us: u64, customer: &str, work_us: u64) {
        self.work(now_us, customer).asked_us += work_us;
    }

    /// Notes a call that was served from `from_us` until now; its work counts
    /// evenly over that time.
    pub fn served(&mut self, from_us: u64, now_us: u64, customer: &str, work_us: u64) {
        let length_us = (now_us - from_us).max(1);
        let mut at_us = from_us;
        while at_us < now_us {
            let end_us = ((at_us / WINDOW_US + 1) * WINDOW_US).min(now_us);
            let part = u128::from(work_us) * u128::from(end_us - at_us) / u128::from(length_us);
            let part = u64::try_from(part).unwrap_or(u64::MAX);
            self.work(at_us, customer).served_us += part;
            at_us = end_us;
        }
    }

    /// The least part of what was due that a customer got, apart from the one
    /// that asked for most; 1 at best.
    pub fn least(&self) -> f64 {
        let mut open: BTreeMap<&str, u64> = BTreeMap::new();
        let mut due: BTreeMap<&str, f64> = BTreeMap::new();
        let mut got: BTreeMap<&str, f64> = BTreeMap::new();
        for window in self.windows.values() {
            let served_us: u64 = window.values().map(|work| work.served_us).sum();
            let parts = fair_parts(&open, served_us as f64);
            for (customer, fair_us) in parts {
                let work = window.get(customer).copied().unwrap_or_default();
                *due.entry(customer).or_default() += fair_us;
                // Work ahead of one window's part does not make up for less
                // in another.
                *got.entry(customer).or_default() += (work.served_us as f64).min(fair_us);
            }
            for (customer, work) in window {
                let left = open.entry(customer).or_default();
                *left = (*left + work.asked_us).saturating_sub(work.served_us);
            }
        }
        let most = self.asked_most();
        let others = due.iter().filter(|(customer, _)| Some(**customer) != most);
        let ratio = |(customer, due): (&&str, &f64)| got[customer] / due.max(1.0);
        others.map(ratio).fold(1.0, f64::min)
    }

    fn asked_most(&self) -> Option<&str> {
        let mut asked: BTreeMap<&str, u64> = BTreeMap::new();
        for (customer, work) in self.windows.values().flatten() {
            *asked.entry(customer).or_default() += work.asked_us;
        }
        let most = asked.into_iter().max_by_key(|(_, asked_us)| *asked_us);
        most.map(|(customer, _)| customer)
    }

    fn work(&mut self, at_us: u64, customer: &str) -> &mut Work {
        let window = self.windows.entry(at_us / WINDOW_US).or_default();
        window.entry(customer.to_owned()).or_default()
    }
}

/// Max-min fair parts of what was served among what was asked for.
fn fair_parts<'a>(open: &BTreeMap<&'a str, u64>, served_us: f64) -> Vec<(&'a str, f64)> {
    let mut by_demand: Vec<(&str, f64)> = open.iter().map(|(c, us)| (*c, *us as f64)).collect();
    by_demand.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut left_us = served_us;
    let count = by_demand.len();
    let part = |(index, (customer, demand)): (usize, (&'a str, f64))| {
        let fair = demand.min(left_us / (count - index) as f64);
        left_us -= fair;
        (customer, fair)
    };
    by_demand.into_iter().enumerate().map(part).collect()
}
