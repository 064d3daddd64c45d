//! Turns the faults of a scenario into a schedule of actions, and runs the schedule on a local deployment.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use oorandom::Rand64;
use shalereel::interface::Nanos;
use shalereel_group::wire::{CommandPayload, MoveRange, OperatorOrder};
use shalereel_reactor::{now, SECOND};
use shalereel_standins::{read_trace, Command, RegistryState, TraceEvent};

use crate::admin_client::{release_order, start_rollback, submit_command};
use crate::evaluation::{evaluate, Verdict};
use crate::local_deployment::{LocalDeployment, Role, FIRST_SERVER};
use crate::scenario::{nanos_from_ms, Fault, FaultKind, Scenario, MS_PER_SECOND};

/// An action of the schedule. Supervisors are named by their positions, servers and forwarders by their ids.
enum Action {
    /// Names a fault in the progress lines from now on.
    ShowFault(String),
    /// Sends a command to a stand-in.
    SendCommand(Role, Command),
    /// Starts servers that have crashed.
    StartServers(Vec<u32>),
    /// Changes the state of servers in the registry's list.
    UpdateList(Vec<u32>, RegistryState),
    /// Changes servers to ready in the registry's list, with their new incarnations and start times.
    ListStarted(Vec<u32>),
    /// Kills a supervisor, without a signal that it could handle.
    KillSupervisor(usize),
    /// Starts a supervisor that was killed.
    RestartSupervisor(usize),
    /// Pauses a supervisor, or resumes it.
    PauseSupervisor(usize, bool),
    /// Starts forwarders that have crashed, with an initial table of ready servers.
    RestartForwarders(Vec<u32>),
    /// An operator rolls tables back by `age` at every supervisor, for `duration`.
    StartRollback { age: Nanos, duration: Nanos },
    /// An operator moves a key range to a server.
    MoveRange { supervisor: usize, range: u32, to: u32 },
    /// An operator orders a supervisor to drain a server or to hold its weight, or releases that order. Positions above the
    /// last supervisor continue at the first one.
    Order { supervisor: usize, server: u32, weight_cap_millionths: Option<u32>, release: bool },
}

/// The actions of a scenario, by time and then in the order in which they were added.
struct Schedule<'a> {
    scenario: &'a Scenario,
    random: Rand64,
    actions: BTreeMap<(Nanos, usize), Action>,
}

fn nanos_from_seconds(seconds: f64) -> Nanos {
    nanos_from_ms(seconds * MS_PER_SECOND)
}

/// Fraction of failed invocations of a `fast_errors` fault without a factor.
const DEFAULT_FAILED_FRACTION: f64 = 0.6;
/// Time from the drain of a replaced server to its stop, as a multiple of the grace time.
const STOP_AFTER_GRACES: f64 = 1.5;
/// Time from the stop of a replaced server to its start, in seconds.
const REPLACEMENT_DELAY_S: f64 = 0.5;
/// Duration of one slow phase of a `neighbour` fault, and the interval at which they start, in seconds.
const NEIGHBOUR_SLOW_S: f64 = 2.0;
const NEIGHBOUR_PERIOD_S: f64 = 3.0;
/// Duration of one pause of a `slow_channel` fault, and the interval at which they start, in seconds.
const SLOW_CHANNEL_PAUSE_S: f64 = 0.8;
const SLOW_CHANNEL_PERIOD_S: f64 = 1.0;
/// Duration of one cut of a `links_flap` fault, and the interval at which they start, in seconds.
const LINKS_FLAP_CUT_S: f64 = 0.8;
const LINKS_FLAP_PERIOD_S: f64 = 1.6;
/// Longest last cut of a `links_flap` fault, which lasts until the fault ends, in seconds.
const LINKS_FLAP_LAST_CUT_S: f64 = 2.0;
/// Duration of one pause of a `supervisor_stall` fault, and the interval at which they start, in seconds.
const SUPERVISOR_STALL_PAUSE_S: f64 = 1.5;
const SUPERVISOR_STALL_PERIOD_S: f64 = 2.5;
/// Weight cap of an operator's order that equals the whole weight.
const FULL_WEIGHT_MILLIONTHS: f64 = 1e6;
/// Time after the longest timeout until the last invocations have ended, in nanoseconds.
const LAST_ANSWER_MARGIN: Nanos = SECOND / 5;
/// Number of waves in which a deploy replaces the whole fleet.
const DEPLOY_WAVES: usize = 6;
/// Largest fraction of updates that `lossy_links` loses; as many are late, and half as many come twice.
const MAX_LOST_FRACTION: f64 = 0.4;

impl Schedule<'_> {
    fn add(&mut self, seconds: f64, action: Action) {
        let number = self.actions.len();
        self.actions.insert((nanos_from_seconds(seconds), number), action);
    }

    fn add_command(&mut self, seconds: f64, role: Role, command: Command) {
        self.add(seconds, Action::SendCommand(role, command));
    }

    /// Picks as many of `all` at random as the fault affects: its count, or else its fraction of them.
    fn choose(&mut self, fault: &Fault, all: Vec<u32>) -> Vec<u32> {
        let wanted = match fault.count {
            0 => (fault.fraction * all.len() as f64).ceil() as usize,
            count => count as usize,
        };
        let mut all = all;
        while all.len() > wanted {
            all.swap_remove(self.random.rand_range(0..all.len() as u64) as usize);
        }
        all.sort_unstable();
        all
    }

    /// The servers that a fault affects.
    fn servers(&mut self, fault: &Fault) -> Vec<u32> {
        let localities = &self.scenario.localities;
        let in_locality = |index: &u32| {
            fault.locality.is_empty() || localities[*index as usize % localities.len()] == fault.locality
        };
        let all =
            (0..self.scenario.fleet.servers).filter(in_locality).map(|index| FIRST_SERVER + index).collect();
        self.choose(fault, all)
    }

    /// The forwarders that a fault affects.
    fn forwarders(&mut self, fault: &Fault) -> Vec<u32> {
        let localities = &self.scenario.localities;
        let in_locality = |index: &u32| {
            fault.locality.is_empty() || localities[*index as usize % localities.len()] == fault.locality
        };
        let all = (0..self.scenario.forwarders.count).filter(in_locality).collect();
        self.choose(fault, all)
    }

    /// Crashes servers at `from` and starts them at `to`. The list shows both with a delay.
    fn crash(&mut self, servers: Vec<u32>, from: f64, to: f64) {
        let fleet = &self.scenario.fleet;
        let (removal_delay, addition_delay) = (fleet.removal_delay_s, fleet.addition_delay_s);
        self.add_command(from, Role::Servers, Command::CrashServers { servers: servers.clone() });
        // A crash that is shorter than the delay shows in the list only as a new start.
        if removal_delay < to - from {
            self.add(from + removal_delay, Action::UpdateList(servers.clone(), RegistryState::Gone));
        }
        self.add(to, Action::StartServers(servers.clone()));
        self.add(to + addition_delay, Action::ListStarted(servers));
    }

    /// Replaces servers: lists them as draining, stops them after their grace time, and starts them again.
    fn replace(&mut self, servers: Vec<u32>, from: f64, grace: f64) {
        self.add(from, Action::UpdateList(servers.clone(), RegistryState::Draining));
        let grace_nanos = nanos_from_ms(grace * MS_PER_SECOND);
        self.add_command(
            from,
            Role::Servers,
            Command::DrainServers { servers: servers.clone(), grace: grace_nanos },
        );
        let stopped = from + STOP_AFTER_GRACES * grace;
        self.add_command(stopped, Role::Servers, Command::CrashServers { servers: servers.clone() });
        self.add(stopped, Action::UpdateList(servers.clone(), RegistryState::Gone));
        self.add(stopped + REPLACEMENT_DELAY_S, Action::StartServers(servers.clone()));
        self.add(
            stopped + REPLACEMENT_DELAY_S + self.scenario.fleet.addition_delay_s,
            Action::ListStarted(servers),
        );
    }

    /// Adds the actions that begin and end a fault.
    fn add_fault(&mut self, fault: &Fault) {
        use FaultKind::*;
        let (from, to) = (fault.at_s, fault.at_s + fault.for_s);
        let grace = self.scenario.rules.drain_grace_s;
        let location =
            if fault.locality.is_empty() { String::new() } else { format!(" in {}", fault.locality) };
        self.add(from, Action::ShowFault(format!("{:?}{location}", fault.kind)));
        let add_both = |schedule: &mut Self, role, begin: Command, end: Command| {
            schedule.add_command(from, role, begin);
            schedule.add_command(to, role, end);
        };
        match fault.kind {
            Crash => {
                let servers = self.servers(fault);
                self.crash(servers, from, to);
            }
            MassRestart => {
                let servers = self.servers(fault);
                self.crash(servers, from, to);
            }
            Silence | Hang | FalseReports | Misreport => {
                let servers = self.servers(fault);
                let command = |on| match fault.kind {
                    Silence => Command::SilenceServers { servers: servers.clone(), on },
                    Hang => Command::HangServers { servers: servers.clone(), on },
                    _ => Command::MisreportLoad { servers: servers.clone(), on },
                };
                add_both(self, Role::Servers, command(true), command(false));
                // A misreport is a hang together with a false report.
                if fault.kind == Misreport {
                    let command = |on| Command::HangServers { servers: servers.clone(), on };
                    add_both(self, Role::Servers, command(true), command(false));
                }
            }
            Slow | SharedSlow => {
                let servers = if fault.kind == Slow {
                    self.servers(fault)
                } else {
                    (0..self.scenario.fleet.servers).map(|index| FIRST_SERVER + index).collect()
                };
                let command = |factor| Command::SlowServers { servers: servers.clone(), factor };
                add_both(self, Role::Servers, command(fault.factor.max(1.0)), command(1.0));
            }
            Neighbour => {
                let servers = self.servers(fault);
                let mut time = from;
                while time < to {
                    let (slow, normal) = (fault.factor.max(1.0), 1.0);
                    self.add_command(
                        time,
                        Role::Servers,
                        Command::SlowServers { servers: servers.clone(), factor: slow },
                    );
                    let end = (time + NEIGHBOUR_SLOW_S).min(to);
                    self.add_command(
                        end,
                        Role::Servers,
                        Command::SlowServers { servers: servers.clone(), factor: normal },
                    );
                    time += NEIGHBOUR_PERIOD_S;
                }
            }
            FastErrors => {
                let servers = self.servers(fault);
                let fraction =
                    if fault.factor > 0.0 { fault.factor.min(1.0) } else { DEFAULT_FAILED_FRACTION };
                let command = |fraction| Command::FailInvocations { servers: servers.clone(), fraction };
                add_both(self, Role::Servers, command(fraction), command(0.0));
            }
            Drain => {
                let servers = self.servers(fault);
                // The servers stop when half of the fault is over, or later if the grace time of the rules is longer.
                self.replace(servers, from, grace.max(fault.for_s / 3.0));
            }
            Deploy => {
                let servers = self.servers(fault);
                let wave_size = (self.scenario.fleet.servers as usize / DEPLOY_WAVES).max(1);
                let waves = servers.chunks(wave_size).count();
                for (wave, servers) in servers.chunks(wave_size).enumerate() {
                    let time = from + fault.for_s * wave as f64 / waves as f64;
                    self.replace(servers.to_vec(), time, grace);
                }
            }
            Squeeze => {
                let servers = self.servers(fault);
                let command = |fraction| Command::LimitConnections { servers: servers.clone(), fraction };
                add_both(self, Role::Servers, command(fault.factor), command(1.0));
            }
            Handshake => {
                let servers = self.servers(fault);
                let command = |delay| Command::DelayConnections { servers: servers.clone(), delay };
                add_both(
                    self,
                    Role::Servers,
                    command(nanos_from_ms(fault.delay_s * MS_PER_SECOND)),
                    command(0),
                );
            }
            LateReports => {
                let command = |delay| Command::DelayReports { delay };
                add_both(
                    self,
                    Role::Forwarders,
                    command(nanos_from_ms(fault.delay_s * MS_PER_SECOND)),
                    command(0),
                );
            }
            LossyLinks => {
                let command = |fraction| Command::DisturbUpdates {
                    fraction,
                    delay: nanos_from_ms(fault.delay_s * MS_PER_SECOND),
                };
                add_both(
                    self,
                    Role::Forwarders,
                    command(fault.fraction.min(MAX_LOST_FRACTION)),
                    command(0.0),
                );
            }
            WayBack => {
                let (age, duration) = (
                    nanos_from_ms(fault.delay_s * MS_PER_SECOND),
                    nanos_from_ms(fault.for_s * MS_PER_SECOND),
                );
                self.add(from, Action::StartRollback { age, duration });
            }
            WrongList | EmptyList => {
                let mut servers = self.servers(fault);
                if fault.kind == EmptyList {
                    servers = (0..self.scenario.fleet.servers).map(|index| FIRST_SERVER + index).collect();
                }
                let end = Command::OmitServers { servers: Vec::new() };
                add_both(self, Role::Registry, Command::OmitServers { servers }, end);
            }
            RegistryAway => {
                add_both(
                    self,
                    Role::Registry,
                    Command::StopRegistry { on: true },
                    Command::StopRegistry { on: false },
                );
            }
            RegistryMute => {
                add_both(
                    self,
                    Role::Registry,
                    Command::SuppressUpdates { on: true },
                    Command::SuppressUpdates { on: false },
                );
            }
            LocalityCut => {
                let zones = vec![fault.locality.clone()];
                add_both(
                    self,
                    Role::Forwarders,
                    Command::IsolateZones { zones },
                    Command::IsolateZones { zones: Vec::new() },
                );
            }
            ForwarderCrash => {
                let forwarders = self.forwarders(fault);
                self.add_command(
                    from,
                    Role::Forwarders,
                    Command::CrashForwarders { forwarders: forwarders.clone() },
                );
                self.add(to, Action::RestartForwarders(forwarders));
            }
            ForwarderStall | ForwarderDeaf => {
                let forwarders = self.forwarders(fault);
                let command = |on| match fault.kind {
                    ForwarderStall => Command::StallForwarders { forwarders: forwarders.clone(), on },
                    _ => Command::PauseSupervisorConnection { forwarders: forwarders.clone(), on },
                };
                add_both(self, Role::Forwarders, command(true), command(false));
            }
            SlowChannel => {
                // Forwarders read nothing for four fifths of each second, so that updates arrive late.
                let forwarders: Vec<u32> = (0..self.scenario.forwarders.count).collect();
                let mut time = from;
                while time < to {
                    let command =
                        |on| Command::PauseSupervisorConnection { forwarders: forwarders.clone(), on };
                    self.add_command(time, Role::Forwarders, command(true));
                    self.add_command((time + SLOW_CHANNEL_PAUSE_S).min(to), Role::Forwarders, command(false));
                    time += SLOW_CHANNEL_PERIOD_S;
                }
            }
            TurnDown => {
                let forwarders = self.forwarders(fault);
                let count = fault.factor.max(1.0) as u32;
                self.add_command(from, Role::Forwarders, Command::RejectUpdates { forwarders, count });
            }
            GhostReports => {
                add_both(
                    self,
                    Role::Forwarders,
                    Command::ReportUnknownServer { on: true },
                    Command::ReportUnknownServer { on: false },
                );
            }
            OddBalancers => {
                let command = |on| Command::RunFaultyBalancers { on };
                add_both(self, Role::Forwarders, command(true), command(false));
            }
            LinksCut | LinksOneWay | LinksFlap => {
                let all: Vec<u32> = (0..u32::from(self.scenario.supervisors.count)).collect();
                let chosen = self.choose(fault, all.clone());
                let mut pairs = Vec::new();
                for &supervisor in &chosen {
                    for &other in all.iter().filter(|other| !chosen.contains(other)) {
                        pairs.push((supervisor, other));
                        // With `LinksOneWay`, a chosen supervisor receives from all others but reaches none.
                        if fault.kind != LinksOneWay {
                            pairs.push((other, supervisor));
                        }
                    }
                }
                let restore = Command::BlockLinks { pairs: Vec::new() };
                let mut time = from;
                while fault.kind == LinksFlap && time + LINKS_FLAP_LAST_CUT_S < to {
                    self.add_command(time, Role::Links, Command::BlockLinks { pairs: pairs.clone() });
                    self.add_command(time + LINKS_FLAP_CUT_S, Role::Links, restore.clone());
                    time += LINKS_FLAP_PERIOD_S;
                }
                self.add_command(time, Role::Links, Command::BlockLinks { pairs });
                self.add_command(to, Role::Links, restore);
            }
            SupervisorPause => {
                let all = (0..u32::from(self.scenario.supervisors.count)).collect();
                for number in self.choose(fault, all) {
                    self.add(from, Action::PauseSupervisor(number as usize, true));
                    self.add(to, Action::PauseSupervisor(number as usize, false));
                }
            }
            MoveRanges => {
                // The command goes to every supervisor; those without a majority reject it.
                let ranges = self.scenario.group.as_ref().map_or(0, |group| group.ranges);
                for range in 0..ranges {
                    let index = self.random.rand_range(0..u64::from(self.scenario.fleet.servers)) as u32;
                    for supervisor in 0..usize::from(self.scenario.supervisors.count) {
                        self.add(from, Action::MoveRange { supervisor, range, to: FIRST_SERVER + index });
                    }
                }
            }
            Order => {
                // The order is given to one supervisor and released at the next one.
                let servers = self.servers(fault);
                let supervisor =
                    self.random.rand_range(0..u64::from(self.scenario.supervisors.count)) as usize;
                for server in servers {
                    let weight_cap_millionths = (fault.factor > 0.0)
                        .then_some((fault.factor.min(1.0) * FULL_WEIGHT_MILLIONTHS) as u32);
                    self.add(
                        from,
                        Action::Order { supervisor, server, weight_cap_millionths, release: false },
                    );
                    self.add(
                        to,
                        Action::Order {
                            supervisor: supervisor + 1,
                            server,
                            weight_cap_millionths,
                            release: true,
                        },
                    );
                }
            }
            SupervisorCrash | SupervisorStall => {
                let all = (0..u32::from(self.scenario.supervisors.count)).collect();
                for number in self.choose(fault, all) {
                    let number = number as usize;
                    if fault.kind == SupervisorCrash {
                        self.add(from, Action::KillSupervisor(number));
                        self.add(to, Action::RestartSupervisor(number));
                        continue;
                    }
                    let mut time = from;
                    while time < to {
                        self.add(time, Action::PauseSupervisor(number, true));
                        self.add(
                            (time + SUPERVISOR_STALL_PAUSE_S).min(to),
                            Action::PauseSupervisor(number, false),
                        );
                        time += SUPERVISOR_STALL_PERIOD_S;
                    }
                }
            }
            Surge => {
                let command = |factor| Command::ScaleRate { factor };
                add_both(self, Role::Callers, command(fault.factor), command(1.0));
            }
        }
    }
}

/// Executes an action. `incarnation` is the last one that any server was started with; `started` has the incarnation and
/// the start time of each server that was started again.
fn execute(
    deployment: &mut LocalDeployment,
    action: Action,
    incarnation: &mut u64,
    started: &mut BTreeMap<u32, (u64, Nanos)>,
) -> Result<()> {
    match action {
        Action::ShowFault(_) => {}
        Action::SendCommand(role, command) => deployment.send_command(role, &command)?,
        Action::StartServers(servers) => {
            *incarnation += 1;
            started.extend(servers.iter().map(|&server| (server, (*incarnation, now()))));
            deployment
                .send_command(Role::Servers, &Command::StartServers { servers, incarnation: *incarnation })?;
        }
        Action::UpdateList(servers, state) => deployment.update_list(&servers, state, None)?,
        Action::ListStarted(servers) => {
            for server in servers {
                deployment.update_list(&[server], RegistryState::Ready, started.get(&server).copied())?;
            }
        }
        Action::KillSupervisor(number) => deployment.kill_supervisor(number),
        Action::RestartSupervisor(number) => deployment.restart_supervisor(number)?,
        Action::PauseSupervisor(number, paused) => deployment.pause_supervisor(number, paused),
        Action::StartRollback { age, duration } => {
            for number in 0..deployment.supervisors() {
                let address = deployment.admin_address(number);
                std::thread::spawn(move || match start_rollback(address, age, duration) {
                    Ok(rollback) => {
                        eprintln!("rollback at {address}: applies to {} servers", rollback["takes"])
                    }
                    Err(error) => eprintln!("rollback at {address}: {error:#}"),
                });
            }
        }
        Action::MoveRange { supervisor, range, to } => {
            let address = deployment.address(supervisor);
            std::thread::spawn(move || {
                if let Err(error) = submit_command(
                    address,
                    CommandPayload::MoveRange(MoveRange { range, to_server: to, epoch: 0 }),
                ) {
                    eprintln!("range move at {address}: {error:#}");
                }
            });
        }
        Action::Order { supervisor, server, weight_cap_millionths, release } => {
            let address = deployment.address(supervisor % deployment.supervisors());
            let locality = deployment.locality(server);
            // A rejected order does not fail the run: the evaluation checks what the order leads to.
            std::thread::spawn(move || {
                let order = OperatorOrder { server, locality, weight_cap_millionths };
                let result = if release {
                    release_order(address, &order)
                } else {
                    submit_command(address, CommandPayload::OperatorOrder(order))
                };
                if let Err(error) = result {
                    eprintln!("order at {address}: {error:#}");
                }
            });
        }
        Action::RestartForwarders(forwarders) => {
            let listed = deployment.list.values().filter(|entry| entry.state == RegistryState::Ready);
            let ready_servers = listed.map(|entry| entry.server).collect();
            deployment.send_command(
                Role::Forwarders,
                &Command::RestartForwarders { forwarders, bootstrap_servers: ready_servers },
            )?;
        }
    }
    Ok(())
}

/// Starts a deployment, runs the scenario on it, stops it, and evaluates its traces. `program` is the executable of
/// every process, traces and logs are written to `folder`, and `progress` is called with a line per second.
///
/// Errors: a process cannot be started or commanded, or a trace cannot be read.
pub fn run_scenario(
    program: &Path,
    folder: &Path,
    scenario: &Scenario,
    progress: &mut dyn FnMut(&str),
) -> Result<Verdict> {
    // The deployment uses another seed, so that the two draw different sequences.
    let mut schedule =
        Schedule { scenario, random: Rand64::new(u128::from(scenario.seed) + 2), actions: BTreeMap::new() };
    for fault in &scenario.faults {
        schedule.add_fault(fault);
    }
    let mut deployment = LocalDeployment::start(program, folder, scenario)?;
    let (start, length) = (now(), nanos_from_seconds(scenario.length_s));
    let (mut incarnation, mut started, mut next_progress_s) = (1, BTreeMap::new(), 0);
    let mut current_fault = String::new();
    loop {
        let time = now() - start;
        while let Some(entry) = schedule.actions.first_entry().filter(|entry| entry.key().0 <= time) {
            let action = entry.remove();
            if let Action::ShowFault(text) = &action {
                current_fault.clone_from(text);
            }
            execute(&mut deployment, action, &mut incarnation, &mut started)?;
        }
        if time >= length {
            break;
        }
        if time / SECOND >= next_progress_s {
            progress(&format!("{:>4} s of {}: {current_fault}", time / SECOND, scenario.length_s));
            next_progress_s = time / SECOND + 1;
        }
        let next = schedule
            .actions
            .keys()
            .next()
            .map_or(length, |key| key.0)
            .min(next_progress_s * SECOND)
            .min(length);
        std::thread::sleep(Duration::from_nanos(next.saturating_sub(now() - start).min(SECOND)));
    }
    let end = now();
    deployment.send_command(Role::Callers, &Command::StopCallers)?;
    // Waits until the last invocations are answered or have timed out.
    let longest_timeout_ms =
        scenario.operations.iter().map(|operation| operation.integration_timeout_ms).fold(0.0, f64::max);
    std::thread::sleep(Duration::from_nanos(nanos_from_ms(longest_timeout_ms) + LAST_ANSWER_MARGIN));
    progress(&format!("{:>4} s of {}: over", scenario.length_s, scenario.length_s));
    let traces = [Role::Servers, Role::Forwarders, Role::Callers, Role::Registry]
        .map(|role| deployment.trace_path(role));
    let logs: Vec<_> = (0..deployment.supervisors()).map(|number| deployment.log_path(number)).collect();
    deployment.stop()?;
    let mut events: Vec<TraceEvent> = Vec::new();
    for trace in traces {
        events.extend(read_trace(&trace)?);
    }
    let mut verdict = evaluate(scenario, (start, end), &events);
    for (number, log) in logs.iter().enumerate() {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let remarks = text.lines().filter_map(|line| line.split_once("remark=").map(|(_, remark)| remark));
        verdict.remarks.extend(remarks.map(|remark| format!("supervisor {number}: {remark}")));
    }
    Ok(verdict)
}
