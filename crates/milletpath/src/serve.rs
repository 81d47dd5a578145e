//! `milletpath serve`.

use milletpath_config::GatewayConfig;
use milletpath_gateway::{ConfigFeed, FaultInjection, InjectedFault, Links, MembershipLink};
use milletpath_process_environment::signals::{SIGINT, SIGTERM, SignalReceiver};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use tokio::sync::mpsc::UnboundedSender;

/// How it is to be run, beside the charter.
pub struct How {
    pub cores: Option<u8>,
    pub stir: bool,
    pub plant: Option<String>,
}

pub fn serve(charter: Option<&Path>, how: &How) -> ExitCode {
    let plant = match how.plant.as_deref() {
        None => None,
        Some("likely-count") => Some(InjectedFault::LikelyCount),
        Some(other) => {
            eprintln!("no fault is called {other}; known: likely-count");
            return ExitCode::from(2);
        }
    };
    let house = match charter.map(crate::read).transpose() {
        Ok(house) => house,
        Err(code) => return code,
    };
    let run = async |mut house: GatewayConfig, inside| {
        house.limits.cores = how.cores.map_or(house.limits.cores, usize::from);
        run(house, inside, how.stir, plant).await
    };
    crate::local(async move {
        match house {
            Some(house) => run(house, false).await,
            None => match crate::workers::inside().await {
                Ok(house) => run(house, true).await,
                Err(code) => code,
            },
        }
    })
}

async fn run(house: GatewayConfig, inside: bool, stir: bool, plant: Option<InjectedFault>) -> ExitCode {
    let mut bound = milletpath_process_environment::listener::listen(house.listen);
    if bound.is_err() && inside {
        // The built-in charter's port is taken: any other will do.
        bound = milletpath_process_environment::listener::listen((std::net::Ipv4Addr::LOCALHOST, 0).into());
    }
    let listener = match bound {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!("{} can't be listened on: {e}; change listen in the charter", house.listen);
            return ExitCode::FAILURE;
        }
    };
    let link = match house.membership.as_ref().map(|peers| MembershipLink::open(peers, plant)).transpose() {
        Ok(link) => link,
        Err(e) => {
            eprintln!("the link to the other gateways can't be opened: {e}; change peers in the charter");
            return ExitCode::FAILURE;
        }
    };
    if let Some(address) = link.as_ref().and_then(|link| link.address().ok()) {
        tracing::info!(%address, "hears other gateways");
        say(&format!("peers on udp://{address}"));
    }
    let feed = match house.config_log.as_ref().map(ConfigFeed::open).transpose() {
        Ok(feed) => feed,
        Err(e) => {
            eprintln!("changes can't be heard: {e}; change changes in the charter");
            return ExitCode::FAILURE;
        }
    };
    if let Some(address) = feed.as_ref().and_then(|feed| feed.address().ok()) {
        tracing::info!(%address, "hears changes");
        say(&format!("changes on udp://{address}"));
    }
    if let Ok(address) = listener.local_addr() {
        tracing::info!(%address, "listening");
        // For whoever started it with port 0.
        say(&format!("listening on http://{address}"));
        if inside {
            say(&format!("try: curl -d hello http://{address}/v1/functions/greet/activations"));
        }
    }
    let (tell, stirs) = tokio::sync::mpsc::unbounded_channel();
    if stir {
        std::thread::spawn(move || {
            std::io::stdin().lines().map_while(Result::ok).for_each(|l| take(&l, &tell));
        });
    }
    let links = Links { peers: link, changes: feed };
    let tally = milletpath_gateway::serve_with_faults(house, listener, links, stop(), stirs).await;
    tracing::info!(?tally, "stopped");
    ExitCode::SUCCESS
}

/// Tells whoever started it; that nobody reads it is no reason not to serve.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// One line of mischief: the core, what befalls it, and for how many seconds.
fn take(line: &str, tell: &UnboundedSender<(usize, FaultInjection)>) {
    let mut words = line.split_whitespace();
    let (core, what, seconds) = (words.next(), words.next(), words.next());
    let stir = match (what, seconds.and_then(|s| s.parse::<f64>().ok())) {
        (Some("stall"), Some(seconds)) if (0.0..=60.0).contains(&seconds) => FaultInjection::Stall(seconds),
        (Some("panic"), _) => FaultInjection::Panic,
        (Some("break"), _) => FaultInjection::DispatcherPanic,
        _ => return tracing::warn!(line, "no mischief of that kind"),
    };
    if let Some(core) = core.and_then(|c| c.parse().ok()) {
        let _ = tell.send((core, stir));
    }
}

/// SIGTERM, or Ctrl-C on a terminal.
pub async fn stop() {
    let (Ok(mut term), Ok(mut int)) = (SignalReceiver::new(SIGTERM), SignalReceiver::new(SIGINT)) else {
        tracing::error!("signals can't be heard; end the process outright");
        return std::future::pending().await;
    };
    tokio::select! {
        () = term.next() => {}
        () = int.next() => {}
    }
}
