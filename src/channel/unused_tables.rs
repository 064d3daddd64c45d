//! Updates of tables that no proxy uses. They cost the channel nothing, and keep the tables up to date for
//! proxies that are assigned one.

use std::collections::BTreeSet;

use super::Channel;
use crate::interface::TableId;
use crate::message::Mailboxes;
use crate::tables::EXCLUSIONS;

impl Channel {
    /// Updates the tables that no proxy uses.
    pub(super) fn update_unused_tables(&mut self, mailboxes: &mut Mailboxes) {
        let users_by_table = self.proxies.users_by_table();
        let is_unused = |table: TableId| table != EXCLUSIONS && !users_by_table.contains_key(&table);
        for change in self.differing_lines(mailboxes.now) {
            if is_unused(change.line.table) {
                // The first table starts the interval until the next deferrable changes.
                if self.deferrable_sent_at == 0 {
                    self.deferrable_sent_at = mailboxes.now;
                }
                self.sent.send_weight(change.line, change.weight, mailboxes);
            }
        }
        let intended = self.proxies.by_id.values().map(|proxy| proxy.intended_table);
        let tables: BTreeSet<TableId> = intended.filter(|&table| is_unused(table)).collect();
        for limit in self.sent.differing_limits(tables, &self.admission_limits) {
            self.sent.send_limit(limit, mailboxes);
        }
    }
}
