//! Whom a process keeps up with, when it cannot keep up with all.
//!
//! Messages, memory and processor time of a node must not grow with the
//! product of entries and endpoints. So an entry keeps up with a bounded
//! number of endpoints for each model or tool, and watches the renewals of a
//! bounded number of other entries.
//!
//! Both choices are made by rendezvous hashing of names: every process can
//! compute them alone, they change little when a host joins or leaves, and
//! they spread evenly. Every endpoint is kept up with by about the same number
//! of entries, and every entry is watched by about the same number of others.

use std::collections::BTreeSet;

use rosebend_state::id::{AvailabilityZone, EndpointId, HostId};

/// Endpoints of one model or tool that an entry keeps up with.
pub const ENDPOINTS_PER_TARGET: usize = 16;
/// Entries whose renewals an entry watches with each of its own.
pub const WATCHED_ENTRIES: usize = 8;

/// An endpoint that serves a model or tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Its name.
    pub endpoint: &'a EndpointId,
    /// Its availability zone.
    pub availability_zone: &'a AvailabilityZone,
}

/// The endpoints of one target that `host` keeps up with: all when there are
/// few; else half from its own availability zone, as far as it has them, and
/// the rest from anywhere, so that the loss of a zone leaves some.
pub fn endpoints_of<'a>(
    host: &str,
    availability_zone: &str,
    candidates: &[Candidate<'a>],
) -> BTreeSet<&'a EndpointId> {
    if candidates.len() <= ENDPOINTS_PER_TARGET {
        return candidates
            .iter()
            .map(|candidate| candidate.endpoint)
            .collect();
    }
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| (rank(host, candidate.endpoint), candidate))
        .collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let near = ranked
        .iter()
        .filter(|(_, candidate)| candidate.availability_zone == availability_zone)
        .take(ENDPOINTS_PER_TARGET / 2);
    let mut chosen: BTreeSet<&EndpointId> = near.map(|(_, candidate)| candidate.endpoint).collect();
    for (_, candidate) in &ranked {
        if chosen.len() == ENDPOINTS_PER_TARGET {
            break;
        }
        chosen.insert(candidate.endpoint);
    }
    chosen
}

/// The entries whose renewals `host` watches: the next ones on a ring of
/// hashed names, so that each entry is watched by exactly as many others.
pub fn watched_entries<'a>(
    host: &str,
    entries: impl Iterator<Item = &'a HostId>,
) -> Vec<&'a HostId> {
    let own = (position(host), host);
    let mut others: Vec<_> = entries
        .filter(|entry| *entry != host)
        .map(|entry| {
            (
                (position(entry), entry.as_str()) < own,
                position(entry),
                entry,
            )
        })
        .collect();
    // Those before the own position come after the end of the ring.
    others.sort();
    others
        .into_iter()
        .take(WATCHED_ENTRIES)
        .map(|(.., entry)| entry)
        .collect()
}

/// The entries that watch the renewals of `host`.
pub fn watchers_of<'a>(host: &str, entries: impl Iterator<Item = &'a HostId>) -> Vec<&'a HostId> {
    let own = (position(host), host);
    let mut others: Vec<_> = entries
        .filter(|entry| *entry != host)
        .map(|entry| {
            (
                (position(entry), entry.as_str()) > own,
                position(entry),
                entry,
            )
        })
        .collect();
    // The nearest ones before the own position; those after it are farthest.
    others.sort_by_key(|(is_after, position, entry)| {
        (*is_after, std::cmp::Reverse((*position, *entry)))
    });
    others
        .into_iter()
        .take(WATCHED_ENTRIES)
        .map(|(.., entry)| entry)
        .collect()
}

fn rank(host: &str, endpoint: &str) -> u64 {
    rosebend_util::hash_parts(&[host.as_bytes(), endpoint.as_bytes()])
}

fn position(host: &str) -> u64 {
    rosebend_util::hash_parts(&[b"ring", host.as_bytes()])
}
