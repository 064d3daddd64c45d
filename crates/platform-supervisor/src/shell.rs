//! The shell: sockets, signals and clocks round a [`Core`].

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use shalereel::interface::Nanos;
use shalereel_reactor::{now, reload_signals, stop_signals};
use shalereel_rpc::{Bounds, ConnId, Hub, Input};

use crate::core::{Core, Effect, Way};
use crate::manners::Manners;
use crate::names::Clocks;
use crate::start::Start;

fn clocks() -> Clocks {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clocks { now: now(), unix_ms: unix.as_secs_f64() * 1e3 }
}

/// Serves until SIGTERM. Errors: the file is bad, or the address cannot be served.
pub fn run(file: &Path) -> Result<()> {
    // Before all else: a signal that comes while the file is read must find its handler.
    let signals = (stop_signals()?, reload_signals()?);
    let start = Start::read(file)?;
    let manners = Manners::new(&start.facts, start.limits);
    let bounds = Bounds {
        message: manners.message(true),
        calls: 0,
        unread: manners.unread(),
        silence: manners.stream_silence(),
        retry: manners.refused_again(),
    };
    let mut hub: Hub<(), u32> = Hub::new(bounds)?;
    hub.stop_on(signals.0)?;
    hub.reload_on(signals.1)?;
    hub.hold_at_most(manners.guests());
    let listen = start.listen;
    hub.listen_given(listen, ()).with_context(|| format!("{}: listen = {listen}", file.display()))?;
    tracing::info!(name = start.name, %listen, discovery = %start.discovery, "started");
    log_settings(&start);
    let place = |panic: &std::panic::PanicHookInfo<'_>| tracing::error!("{panic}");
    std::panic::set_hook(Box::new(place));
    let mut core: Core<ConnId> = Core::new(start, clocks());
    core.turn(clocks());
    carry_out(&mut core, &mut hub);
    loop {
        let until = core.next();
        if turn(file, until, &mut core, &mut hub)? {
            break;
        }
    }
    // What came before the signal still gets its answer, also where it stands unread in the kernel.
    turn(file, Some(now()), &mut core, &mut hub)?;
    hub.flush();
    tracing::info!("stopped by a signal");
    Ok(())
}

/// Waits, takes in what came, and decides. Was there a signal to stop?
fn turn(file: &Path, until: Option<Nanos>, core: &mut Core<ConnId>, hub: &mut Hub<(), u32>) -> Result<bool> {
    let mut stopping = false;
    for input in hub.wait(until)? {
        match input {
            Input::Opened { conn, .. } => core.opened(conn, now()),
            Input::Bytes { conn, bytes } => core.bytes(conn, &bytes, clocks()),
            Input::Closed { conn, why } => core.closed(conn, &why, now()),
            Input::Reload => reload(file, 0, core, hub),
            Input::Due(tries) => reload(file, tries, core, hub),
            Input::Stop => stopping = true,
            _ => {}
        }
    }
    core.turn(clocks());
    carry_out(core, hub);
    Ok(stopping)
}

/// The figures that every deadline and the channel go by: without them a log cannot be judged afterwards.
fn log_settings(start: &Start) {
    let facts = &start.facts;
    let milliseconds = |span: Nanos| span / 1_000_000;
    tracing::info!(
        proxies = facts.proxy_count,
        supervisors = facts.supervisor_count,
        lines_per_s = facts.lines_per_s.round(),
        backlog = facts.channel_capacity.round(),
        overhead = facts.message_overhead,
        mean_transit_ms = milliseconds(facts.mean_transit),
        worst_transit_ms = milliseconds(facts.worst_transit),
        drain_grace_ms = milliseconds(facts.drain_grace),
        empty_for_ms = milliseconds(facts.max_unserved_time),
        cold_ms = milliseconds(facts.slow_start_duration),
        report_cycle_ms = milliseconds(facts.report_interval),
        messages_max = facts.message_limit,
        memory_mb = start.limits.memory_mb,
        sockets = start.limits.sockets,
        known = start.known.as_ref().map(|list| list.version),
        "settings"
    );
}

/// The file may be in the middle of its replacement, cut, empty or missing, when the signal comes: it is read
/// again for a while.
fn reload(file: &Path, tries: u32, core: &mut Core<ConnId>, hub: &mut Hub<(), u32>) {
    match Start::read(file) {
        Ok(start) => core.move_discovery(start.discovery, now()),
        Err(error) => {
            if tries == 0 {
                tracing::warn!("the old settings stay in force: {error}");
            }
            if let Some(at) = core.manners().reread_at(now(), tries) {
                hub.set(at, tries + 1);
            }
        }
    }
}

fn carry_out(core: &mut Core<ConnId>, hub: &mut Hub<(), u32>) {
    loop {
        let effects = core.effects();
        if effects.is_empty() {
            return;
        }
        for effect in effects {
            match effect {
                Effect::Write(conn, bytes) => hub.write_shared(conn, bytes),
                Effect::Close { conn, abrupt } => hub.close(conn, abrupt),
                Effect::Log(line) => tracing::info!("{line}"),
                Effect::Dial(way) => {
                    let address = match way {
                        Way::Discovery(address) | Way::Probe(_, address) => address,
                    };
                    let result = hub.dial_given(address).map_err(|error| error.to_string());
                    core.dialled(way, result, now());
                }
            }
        }
    }
}
