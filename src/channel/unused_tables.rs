//! Updates of tables that no proxy uses: they cost the channel nothing, and a proxy that is assigned one gets
//! it up to date.

use std::collections::BTreeSet;

use super::Channel;
use crate::interface::TableId;
use crate::message::Mailboxes;
use crate::tables::EXCLUSIONS;

impl Channel {
    /// Brings tables that no proxy uses up to date.
    pub(super) fn update_unused_tables(&mut self, mailboxes: &mut Mailboxes) {
        let users_by_table = self.proxies.users_by_table();
        let is_unused = |table: TableId| table != EXCLUSIONS && !users_by_table.contains_key(&table);
        for change in self.differing_lines(mailboxes.now) {
            if is_unused(change.line.table) {
                // The first table ever begins the interval to the next deferrable changes.
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
