//! A plain proxy: it follows the tables that it was sent.

use std::collections::BTreeSet;

use oorandom::Rand64;
use serde::Deserialize;
use shalereel_reactor::Nanos;

use crate::connection::Connection;
use crate::discovery::{locality_of, server_by_name};
use crate::process::{LOCALITIES, OPERATIONS};

/// One line of an update. An update may consist of several.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct UpdateLine {
    classes: Vec<String>,
    whole: bool,
    lines: Vec<(String, f64)>,
    level: Option<f64>,
    out: Vec<String>,
    back: Vec<String>,
    pub ticket: Option<u64>,
    pub more: bool,
}

impl UpdateLine {
    /// Number of lines that it takes in the channel.
    pub fn channel_lines(&self) -> usize {
        let flags = [self.whole, self.level.is_some(), self.ticket.is_some()];
        let flags = flags.into_iter().filter(|&is_set| is_set).count();
        self.lines.len() + self.out.len() + self.back.len() + flags
    }

    /// Number of servers that it lets back.
    pub fn readmissions(&self) -> usize {
        self.back.len()
    }
}

/// The weights of all servers for one operation; 0 for those that are not in the table.
type Table = Vec<f64>;

pub struct Proxy {
    pub id: u32,
    pub connection: Option<Connection>,
    /// Number of the present connection.
    pub generation: u64,
    /// When it joined on the present connection; `None` while there is none.
    pub joined_at: Option<Nanos>,
    /// Whether it was never sent a table.
    pub is_new: bool,
    tables: Vec<Table>,
    excluded: BTreeSet<usize>,
    /// Lines of an update of which further parts follow.
    pub partial: Vec<UpdateLine>,
    /// When the last message arrives: messages of a proxy arrive in order.
    pub last_arrival: Nanos,
}

impl Proxy {
    /// A proxy whose tables hold the servers of its locality.
    pub fn new(id: u32, servers: usize) -> Self {
        let in_locality = |server: usize| f64::from(u8::from(locality_of(server) == locality(id)));
        let table: Table = (0..servers).map(in_locality).collect();
        Proxy {
            id,
            connection: None,
            generation: 0,
            joined_at: None,
            is_new: true,
            tables: vec![table; OPERATIONS.len()],
            excluded: BTreeSet::new(),
            partial: Vec::new(),
            last_arrival: 0,
        }
    }

    /// A proxy that another supervisor has sent a table of all servers, and these exclusions.
    pub fn of_another_supervisor(id: u32, servers: usize, excluded: BTreeSet<usize>) -> Self {
        let tables = vec![vec![1.0; servers]; OPERATIONS.len()];
        Proxy { is_new: false, tables, excluded, ..Proxy::new(id, servers) }
    }

    /// The name of its locality.
    pub fn locality_name(&self) -> &'static str {
        LOCALITIES[locality(self.id)]
    }

    /// Applies an update.
    pub fn apply(&mut self, update: &[UpdateLine]) {
        for line in update {
            for (operation, table) in OPERATIONS.iter().zip(&mut self.tables) {
                if line.classes.is_empty() || line.classes.iter().any(|class| class == operation) {
                    apply_to_table(line, table);
                }
            }
            self.is_new &= line.lines.is_empty() && !line.whole;
            self.excluded.extend(line.out.iter().filter_map(|name| server_by_name(name)));
            for server in line.back.iter().filter_map(|name| server_by_name(name)) {
                self.excluded.remove(&server);
            }
        }
    }

    /// Picks a server for a request by weight.
    pub fn pick(&self, operation: usize, random: &mut Rand64) -> Option<usize> {
        let weight = |(server, &weight): (usize, &f64)| {
            if self.excluded.contains(&server) {
                0.0
            } else {
                weight
            }
        };
        let weights: Vec<f64> = self.tables[operation].iter().enumerate().map(weight).collect();
        let mut point = random.rand_float() * weights.iter().sum::<f64>();
        let picked = weights.iter().position(|weight| {
            point -= weight;
            *weight > 0.0 && point < 0.0
        });
        picked.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
    }
}

fn locality(proxy: u32) -> usize {
    proxy as usize % LOCALITIES.len()
}

fn apply_to_table(line: &UpdateLine, table: &mut Table) {
    if line.whole {
        table.fill(0.0);
    }
    for (name, weight) in &line.lines {
        if let Some(entry) = server_by_name(name).and_then(|server| table.get_mut(server)) {
            *entry = *weight;
        }
    }
}
