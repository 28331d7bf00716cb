//! The checked types that all of rosebend shares: ids and, with them, the
//! shard of a program; settings; resources; records of a program.
//!
//! ```
//! use rosebend_state::id::ProgramId;
//!
//! let check = ProgramId::new("caribmar", "renewal-17/check-2")?;
//! assert_eq!(check.root(), ProgramId::new("caribmar", "renewal-17")?);
//! assert_eq!(check.shard(128), check.root().shard(128));
//! # Ok::<(), rosebend_state::id::IdError>(())
//! ```
//!
//! Nothing here does I/O, waits, or reads a clock.

pub mod deployment;
pub mod id;
pub mod record;
pub mod resource;
pub mod settings;
