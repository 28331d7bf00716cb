//! Customers.

use serde::Serialize;
use serde_json::{Map, Value};

use super::{error::FieldDefect, fields::Fields};

/// Largest budget that can be declared.
pub(super) const MAX_BUDGET_TOKENS: u64 = 1_000_000_000_000;

/// A customer: whose programs run, and with which share.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct CustomerSpec {
    /// Weight of the customer's share where calls wait; 1 to 1000.
    pub share_weight: u32,
    /// Most tokens that one program of the customer may be given; from 1.
    pub budget_ceiling_tokens: u64,
}

impl TryFrom<&Map<String, Value>> for CustomerSpec {
    type Error = Vec<FieldDefect>;

    fn try_from(spec: &Map<String, Value>) -> Result<Self, Vec<FieldDefect>> {
        let mut fields = Fields::new(spec);
        let share_weight = fields.number("share_weight", 1..=1_000, Some(1));
        let ceiling = fields.number("budget_ceiling_tokens", 1..=MAX_BUDGET_TOKENS, None);
        fields.finish()?;
        Ok(Self {
            share_weight: u32::try_from(share_weight).expect("the range fits a u32"),
            budget_ceiling_tokens: ceiling,
        })
    }
}
