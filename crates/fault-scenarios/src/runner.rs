//! The script of a day becomes actions with times, and these are carried out as their times come.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use oorandom::Rand64;
use shalereel::interface::Nanos;
use shalereel_group::wire::{CommandPayload, MoveRange, OperatorOrder};
use shalereel_reactor::{now, SECOND};
use shalereel_standins::{read_trace, Command, ListedAs, Seen};

use crate::admin_client::{release_order, start_rollback, submit_command};
use crate::evaluation::{evaluate, Verdict};
use crate::local_deployment::{LocalDeployment, Role};
use crate::scenario::{nanos, Fault, FaultKind, Scenario};

enum Action {
    Say(String),
    Tell(Role, Command),
    Start(Vec<u32>),
    ListAs(Vec<u32>, ListedAs),
    /// As just started.
    ListFresh(Vec<u32>),
    KillSupervisor(usize),
    StartSupervisor(usize),
    StallSupervisor(usize, bool),
    Revive(Vec<u32>),
    /// An operator goes back to what stood so long ago, for so long, at every supervisor.
    WayBack {
        age: Nanos,
        span: Nanos,
    },
    /// An operator gives a key range to a server.
    Move {
        number: usize,
        range: u32,
        to: u32,
    },
    /// An operator's order about a server, or its end, at a supervisor.
    Order {
        number: usize,
        server: u32,
        hold: Option<u32>,
        off: bool,
    },
}

struct Script<'a> {
    day: &'a Scenario,
    chance: Rand64,
    actions: BTreeMap<(Nanos, usize), Action>,
}

fn at(seconds: f64) -> Nanos {
    nanos(seconds * 1e3)
}

impl Script<'_> {
    fn put(&mut self, seconds: f64, action: Action) {
        let number = self.actions.len();
        self.actions.insert((at(seconds), number), action);
    }

    fn tell(&mut self, seconds: f64, who: Role, command: Command) {
        self.put(seconds, Action::Tell(who, command));
    }

    fn drawn(&mut self, trouble: &Fault, all: Vec<u32>) -> Vec<u32> {
        let wanted = match trouble.count {
            0 => (trouble.part * all.len() as f64).ceil() as usize,
            count => count as usize,
        };
        let mut all = all;
        while all.len() > wanted {
            all.swap_remove(self.chance.rand_range(0..all.len() as u64) as usize);
        }
        all.sort_unstable();
        all
    }

    fn servers(&mut self, trouble: &Fault) -> Vec<u32> {
        let zones = &self.day.localities;
        let near =
            |at: &u32| trouble.locality.is_empty() || zones[*at as usize % zones.len()] == trouble.locality;
        let all = (0..self.day.fleet.servers).filter(near).map(|at| 1000 + at).collect();
        self.drawn(trouble, all)
    }

    fn forwarders(&mut self, trouble: &Fault) -> Vec<u32> {
        let zones = &self.day.localities;
        let near =
            |at: &u32| trouble.locality.is_empty() || zones[*at as usize % zones.len()] == trouble.locality;
        let all = (0..self.day.forwarders.count).filter(near).collect();
        self.drawn(trouble, all)
    }

    /// Down at `from`, cold again at `to`; the list tells each later.
    fn crash(&mut self, servers: Vec<u32>, from: f64, to: f64) {
        let (notice, add) = (self.day.fleet.notice_s, self.day.fleet.add_s);
        self.tell(from, Role::Servers, Command::Crash { servers: servers.clone() });
        // A short death is told only as a fresh start.
        if notice < to - from {
            self.put(from + notice, Action::ListAs(servers.clone(), ListedAs::Gone));
        }
        self.put(to, Action::Start(servers.clone()));
        self.put(to + add, Action::ListFresh(servers));
    }

    /// Told to the list first, then gone, then back cold.
    fn replace(&mut self, servers: Vec<u32>, from: f64, grace: f64) {
        self.put(from, Action::ListAs(servers.clone(), ListedAs::Draining));
        let leave = nanos(grace * 1e3);
        self.tell(from, Role::Servers, Command::Drain { servers: servers.clone(), grace: leave });
        let gone = from + 1.5 * grace;
        self.tell(gone, Role::Servers, Command::Crash { servers: servers.clone() });
        self.put(gone, Action::ListAs(servers.clone(), ListedAs::Gone));
        self.put(gone + 0.5, Action::Start(servers.clone()));
        self.put(gone + 0.5 + self.day.fleet.add_s, Action::ListFresh(servers));
    }

    fn trouble(&mut self, trouble: &Fault) {
        use FaultKind::*;
        let (from, to) = (trouble.at_s, trouble.at_s + trouble.for_s);
        let grace = self.day.rules.drain_grace_s;
        let place =
            if trouble.locality.is_empty() { String::new() } else { format!(" in {}", trouble.locality) };
        self.put(from, Action::Say(format!("{:?}{place}", trouble.kind)));
        let both = |script: &mut Self, who, on: Command, off: Command| {
            script.tell(from, who, on);
            script.tell(to, who, off);
        };
        match trouble.kind {
            Crash => {
                let servers = self.servers(trouble);
                self.crash(servers, from, to);
            }
            MassRestart => {
                let servers = self.servers(trouble);
                self.crash(servers, from, to);
            }
            Silence | Hang | FalseReports | Misreport => {
                let servers = self.servers(trouble);
                let command = |on| match trouble.kind {
                    Silence => Command::Silence { servers: servers.clone(), on },
                    Hang => Command::Hang { servers: servers.clone(), on },
                    _ => Command::Misreport { servers: servers.clone(), on },
                };
                both(self, Role::Servers, command(true), command(false));
                // One that says it has no load while it stalls.
                if trouble.kind == Misreport {
                    let command = |on| Command::Hang { servers: servers.clone(), on };
                    both(self, Role::Servers, command(true), command(false));
                }
            }
            Slow | SharedSlow => {
                let servers = if trouble.kind == Slow {
                    self.servers(trouble)
                } else {
                    (0..self.day.fleet.servers).map(|at| 1000 + at).collect()
                };
                let command = |factor| Command::Slow { servers: servers.clone(), factor };
                both(self, Role::Servers, command(trouble.factor.max(1.0)), command(1.0));
            }
            Neighbour => {
                let servers = self.servers(trouble);
                let mut time = from;
                while time < to {
                    let (on, off) = (trouble.factor.max(1.0), 1.0);
                    self.tell(time, Role::Servers, Command::Slow { servers: servers.clone(), factor: on });
                    let end = (time + 2.0).min(to);
                    self.tell(end, Role::Servers, Command::Slow { servers: servers.clone(), factor: off });
                    time += 3.0;
                }
            }
            FastErrors => {
                let servers = self.servers(trouble);
                let part = if trouble.factor > 0.0 { trouble.factor.min(1.0) } else { 0.6 };
                let command = |part| Command::Fail { servers: servers.clone(), part };
                both(self, Role::Servers, command(part), command(0.0));
            }
            Drain => {
                let servers = self.servers(trouble);
                self.replace(servers, from, grace.max(trouble.for_s / 3.0));
            }
            Deploy => {
                let servers = self.servers(trouble);
                let each = (self.day.fleet.servers as usize / 6).max(1);
                let waves = servers.chunks(each).count();
                for (wave, servers) in servers.chunks(each).enumerate() {
                    let time = from + trouble.for_s * wave as f64 / waves as f64;
                    self.replace(servers.to_vec(), time, grace);
                }
            }
            Squeeze => {
                let servers = self.servers(trouble);
                let command = |part| Command::Squeeze { servers: servers.clone(), part };
                both(self, Role::Servers, command(trouble.factor), command(1.0));
            }
            Handshake => {
                let servers = self.servers(trouble);
                let command = |delay| Command::Handshake { servers: servers.clone(), delay };
                both(self, Role::Servers, command(nanos(trouble.delay_s * 1e3)), command(0));
            }
            LateReports => {
                let command = |delay| Command::LateReports { delay };
                both(self, Role::Forwarders, command(nanos(trouble.delay_s * 1e3)), command(0));
            }
            LossyLinks => {
                let command = |part| Command::Lossy { part, delay: nanos(trouble.delay_s * 1e3) };
                both(self, Role::Forwarders, command(trouble.part.min(0.4)), command(0.0));
            }
            WayBack => {
                let (age, span) = (nanos(trouble.delay_s * 1e3), nanos(trouble.for_s * 1e3));
                self.put(from, Action::WayBack { age, span });
            }
            WrongList | EmptyList => {
                let mut servers = self.servers(trouble);
                if trouble.kind == EmptyList {
                    servers = (0..self.day.fleet.servers).map(|at| 1000 + at).collect();
                }
                let off = Command::LeaveOut { servers: Vec::new() };
                both(self, Role::Registry, Command::LeaveOut { servers }, off);
            }
            RegistryAway => {
                both(self, Role::Registry, Command::Away { on: true }, Command::Away { on: false });
            }
            RegistryMute => {
                both(self, Role::Registry, Command::Mute { on: true }, Command::Mute { on: false });
            }
            LocalityCut => {
                let zones = vec![trouble.locality.clone()];
                both(self, Role::Forwarders, Command::Cut { zones }, Command::Cut { zones: Vec::new() });
            }
            ForwarderCrash => {
                let forwarders = self.forwarders(trouble);
                self.tell(from, Role::Forwarders, Command::Die { forwarders: forwarders.clone() });
                self.put(to, Action::Revive(forwarders));
            }
            ForwarderStall | ForwarderDeaf => {
                let forwarders = self.forwarders(trouble);
                let command = |on| match trouble.kind {
                    ForwarderStall => Command::Stall { forwarders: forwarders.clone(), on },
                    _ => Command::Deaf { forwarders: forwarders.clone(), on },
                };
                both(self, Role::Forwarders, command(true), command(false));
            }
            SlowChannel => {
                // Every second stands still for four fifths of it: what is sent travels late.
                let forwarders: Vec<u32> = (0..self.day.forwarders.count).collect();
                let mut time = from;
                while time < to {
                    let command = |on| Command::Deaf { forwarders: forwarders.clone(), on };
                    self.tell(time, Role::Forwarders, command(true));
                    self.tell((time + 0.8).min(to), Role::Forwarders, command(false));
                    time += 1.0;
                }
            }
            TurnDown => {
                let forwarders = self.forwarders(trouble);
                let count = trouble.factor.max(1.0) as u32;
                self.tell(from, Role::Forwarders, Command::TurnDown { forwarders, count });
            }
            GhostReports => {
                both(
                    self,
                    Role::Forwarders,
                    Command::ReportGhost { on: true },
                    Command::ReportGhost { on: false },
                );
            }
            OddBalancers => {
                let command = |on| Command::OddBalancers { on };
                both(self, Role::Forwarders, command(true), command(false));
            }
            LinksCut | LinksOneWay | LinksFlap => {
                let all: Vec<u32> = (0..u32::from(self.day.supervisors.count)).collect();
                let chosen = self.drawn(trouble, all.clone());
                let mut pairs = Vec::new();
                for &one in &chosen {
                    for &other in all.iter().filter(|other| !chosen.contains(other)) {
                        pairs.push((one, other));
                        // One way: it hears all, and nobody hears it.
                        if trouble.kind != LinksOneWay {
                            pairs.push((other, one));
                        }
                    }
                }
                let off = Command::CutLinks { pairs: Vec::new() };
                let mut time = from;
                while trouble.kind == LinksFlap && time + 2.0 < to {
                    self.tell(time, Role::Links, Command::CutLinks { pairs: pairs.clone() });
                    self.tell(time + 0.8, Role::Links, off.clone());
                    time += 1.6;
                }
                self.tell(time, Role::Links, Command::CutLinks { pairs });
                self.tell(to, Role::Links, off);
            }
            SupervisorPause => {
                let all = (0..u32::from(self.day.supervisors.count)).collect();
                for number in self.drawn(trouble, all) {
                    self.put(from, Action::StallSupervisor(number as usize, true));
                    self.put(to, Action::StallSupervisor(number as usize, false));
                }
            }
            MoveRanges => {
                // Said to every supervisor: those that are cut off refuse it.
                let ranges = self.day.group.as_ref().map_or(0, |shared| shared.ranges);
                for range in 0..ranges {
                    let at = self.chance.rand_range(0..u64::from(self.day.fleet.servers)) as u32;
                    for number in 0..usize::from(self.day.supervisors.count) {
                        self.put(from, Action::Move { number, range, to: 1000 + at });
                    }
                }
            }
            Order => {
                // Said to one supervisor, withdrawn at another one.
                let servers = self.servers(trouble);
                let number = self.chance.rand_range(0..u64::from(self.day.supervisors.count)) as usize;
                for server in servers {
                    let hold = (trouble.factor > 0.0).then_some((trouble.factor.min(1.0) * 1e6) as u32);
                    self.put(from, Action::Order { number, server, hold, off: false });
                    self.put(to, Action::Order { number: number + 1, server, hold, off: true });
                }
            }
            SupervisorCrash | SupervisorStall => {
                let all = (0..u32::from(self.day.supervisors.count)).collect();
                for number in self.drawn(trouble, all) {
                    let number = number as usize;
                    if trouble.kind == SupervisorCrash {
                        self.put(from, Action::KillSupervisor(number));
                        self.put(to, Action::StartSupervisor(number));
                        continue;
                    }
                    let mut time = from;
                    while time < to {
                        self.put(time, Action::StallSupervisor(number, true));
                        self.put((time + 1.5).min(to), Action::StallSupervisor(number, false));
                        time += 2.5;
                    }
                }
            }
            Surge => {
                let command = |factor| Command::Rate { factor };
                both(self, Role::Callers, command(trouble.factor), command(1.0));
            }
        }
    }
}

fn carry_out(
    stage: &mut LocalDeployment,
    action: Action,
    incarnation: &mut u64,
    started: &mut BTreeMap<u32, (u64, Nanos)>,
) -> Result<()> {
    match action {
        Action::Say(_) => {}
        Action::Tell(who, command) => stage.tell(who, &command)?,
        Action::Start(servers) => {
            *incarnation += 1;
            started.extend(servers.iter().map(|&server| (server, (*incarnation, now()))));
            stage.tell(Role::Servers, &Command::Start { servers, incarnation: *incarnation })?;
        }
        Action::ListAs(servers, state) => stage.list_as(&servers, state, None)?,
        Action::ListFresh(servers) => {
            for server in servers {
                stage.list_as(&[server], ListedAs::Ready, started.get(&server).copied())?;
            }
        }
        Action::KillSupervisor(number) => stage.kill_supervisor(number),
        Action::StartSupervisor(number) => stage.restart_supervisor(number)?,
        Action::StallSupervisor(number, on) => stage.stall_supervisor(number, on),
        Action::WayBack { age, span } => {
            for number in 0..stage.supervisors() {
                let at = stage.admin(number);
                std::thread::spawn(move || match start_rollback(at, age, span) {
                    Ok(told) => eprintln!("a way back at {at}: {} servers take it", told["takes"]),
                    Err(error) => eprintln!("a way back at {at}: {error:#}"),
                });
            }
        }
        Action::Move { number, range, to } => {
            let at = stage.address(number);
            std::thread::spawn(move || {
                if let Err(error) = submit_command(
                    at,
                    CommandPayload::MoveRange(MoveRange { range, to_server: to, epoch: 0 }),
                ) {
                    eprintln!("a move at {at}: {error:#}");
                }
            });
        }
        Action::Order { number, server, hold, off } => {
            let at = stage.address(number % stage.supervisors());
            let locality = stage.locality(server);
            // Refused or not, it is for the judge to see what became of it.
            std::thread::spawn(move || {
                let order = OperatorOrder { server, locality, weight_cap_millionths: hold };
                let told = if off {
                    release_order(at, &order)
                } else {
                    submit_command(at, CommandPayload::OperatorOrder(order))
                };
                if let Err(error) = told {
                    eprintln!("an order at {at}: {error:#}");
                }
            });
        }
        Action::Revive(forwarders) => {
            let listed = stage.list.values().filter(|row| row.state == ListedAs::Ready);
            let standing = listed.map(|row| row.server).collect();
            stage.tell(Role::Forwarders, &Command::Revive { forwarders, standing })?;
        }
    }
    Ok(())
}

/// Starts everything, plays the day, stops everything, and judges what was seen. `progress` gets a line a second.
pub fn run_scenario(
    program: &Path,
    folder: &Path,
    day: &Scenario,
    progress: &mut dyn FnMut(&str),
) -> Result<Verdict> {
    let mut script = Script { day, chance: Rand64::new(u128::from(day.seed) + 2), actions: BTreeMap::new() };
    for trouble in &day.faults {
        script.trouble(trouble);
    }
    let mut stage = LocalDeployment::start(program, folder, day)?;
    let (start, length) = (now(), at(day.length_s));
    let (mut incarnation, mut started, mut told) = (1, BTreeMap::new(), 0);
    let mut said = String::new();
    loop {
        let time = now() - start;
        while let Some(entry) = script.actions.first_entry().filter(|entry| entry.key().0 <= time) {
            let action = entry.remove();
            if let Action::Say(text) = &action {
                said.clone_from(text);
            }
            carry_out(&mut stage, action, &mut incarnation, &mut started)?;
        }
        if time >= length {
            break;
        }
        if time / SECOND >= told {
            progress(&format!("{:>4} s of {}: {said}", time / SECOND, day.length_s));
            told = time / SECOND + 1;
        }
        let next = script.actions.keys().next().map_or(length, |key| key.0).min(told * SECOND).min(length);
        std::thread::sleep(Duration::from_nanos(next.saturating_sub(now() - start).min(SECOND)));
    }
    let end = now();
    stage.tell(Role::Callers, &Command::Quit)?;
    // What was asked for last is still answered or timed out.
    let longest = day.operations.iter().map(|operation| operation.integration_timeout_ms).fold(0.0, f64::max);
    std::thread::sleep(Duration::from_nanos(nanos(longest) + SECOND / 5));
    progress(&format!("{:>4} s of {}: over", day.length_s, day.length_s));
    let traces = [Role::Servers, Role::Forwarders, Role::Callers, Role::Registry].map(|who| stage.trace(who));
    let logs: Vec<_> = (0..stage.supervisors()).map(|number| stage.log(number)).collect();
    stage.stop()?;
    let mut seen: Vec<Seen> = Vec::new();
    for trace in traces {
        seen.extend(read_trace(&trace)?);
    }
    let mut verdict = evaluate(day, (start, end), &seen);
    for (number, log) in logs.iter().enumerate() {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let remarks = text.lines().filter_map(|line| line.split_once("remark=").map(|(_, remark)| remark));
        verdict.remarks.extend(remarks.map(|remark| format!("supervisor {number}: {remark}")));
    }
    Ok(verdict)
}
