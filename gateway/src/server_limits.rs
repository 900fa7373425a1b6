//! The limits of all backend servers, as known to one instance.

use std::collections::HashMap;

use limpetweir_state::Timestamp;

use crate::backend::RunKey;
use crate::server_limit::{
    LimitChange,
    StatedLimit,
    Statement, //
};

/// The limits that backend servers have stated.
#[derive(Debug, Default)]
pub struct ServerLimits {
    statements: HashMap<RunKey, Statement>,
}

impl ServerLimits {
    /// Returns whether no server is or was limited.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Applies the head of a response of `run` to a request that was sent at `sent_at`.
    pub fn stated(
        &mut self,
        run: RunKey,
        limit: &StatedLimit,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let statement = Statement::of(limit, sent_at, now)?;
        let before = self.statements.get(&run).copied();
        if before.is_none() && statement.rate.is_none() {
            return None;
        }
        if before.is_some_and(|before| statement.at <= before.at) {
            return None;
        }
        self.statements.insert(run, statement);
        LimitChange::between(before.and_then(|s| s.rate), statement.rate)
    }

    /// Returns the newest statement of `run`, if it states a limit.
    pub fn limit(&self, run: RunKey) -> Option<Statement> {
        let statement = self.statements.get(&run).copied();
        statement.filter(|s| s.rate.is_some())
    }
}
