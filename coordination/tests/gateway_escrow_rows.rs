//! Size of the rows in which the owners of escrow slots hand over their accounts.

use rosebend_coordination::gateway::escrow::accounts::Accounts;
use rosebend_coordination::gateway::escrow::slot::SlotRow;

/// Maximum size of an encoded value of a row, and programs that one slot closes in a few
/// minutes.
const ROW_BYTES: usize = 65_536;
const PROGRAMS: usize = 2_000;

/// Guards against a planned stop that can't hand over its slots, because the store takes no row
/// of this size.
#[test]
fn a_slot_that_closed_many_programs_fits_into_its_row() {
    let mut accounts = Accounts::default();
    for number in 0..PROGRAMS {
        accounts.close(&format!("customer-7f3a91c2/{number:016x}"));
    }
    let row = SlotRow {
        accounts,
        ..SlotRow::default()
    };
    let bytes = row.encode().len().div_ceil(3) * 4;
    assert!(bytes <= ROW_BYTES, "{bytes} bytes");
}
