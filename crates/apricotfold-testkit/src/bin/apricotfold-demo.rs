//! Starts a local mesh in four data centres, publishes a profile and makes calls through it.
//!
//! All processes run on loopback addresses. See `README.md`.

use std::process::ExitCode;
use std::time::Duration;

use apricotfold_testkit::{Mesh, MeshBuilder};
use serde_json::Value;

const HELP: &str = "\
Starts a local mesh, publishes a profile and makes calls through it.

Usage: apricotfold-demo [--keep] [PROFILE]

Arguments:
  PROFILE      profile to publish, default guide/examples/almanac.json

Options:
  --keep       leave the mesh running until Ctrl-C
  --help       print this text
  --version    print the version";

const LOCATIONS: [(&str, &str); 4] = [
    ("rs-gaucho", "poa-a"),
    ("rs-gaucho", "poa-b"),
    ("sc-litoral", "fln-a"),
    ("sc-litoral", "fln-b"),
];
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct DemoArgs {
    keep: bool,
    profile: String,
}

fn main() -> ExitCode {
    env_logger::init();
    let args = match read_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-demo: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Runtime::new().map_err(eyre::Report::from);
    match runtime.and_then(|runtime| runtime.block_on(run(&args))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_args() -> eyre::Result<Option<DemoArgs>> {
    use lexopt::prelude::*;
    let mut args = DemoArgs {
        keep: false,
        profile: "guide/examples/almanac.json".to_owned(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("keep") => args.keep = true,
            Long("help") | Short('h') => {
                println!("{HELP}");
                return Ok(None);
            }
            Long("version") | Short('V') => {
                println!("apricotfold-demo {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Value(path) => args.profile = path.string()?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

async fn run(args: &DemoArgs) -> eyre::Result<()> {
    let profile: Value = serde_json::from_str(&std::fs::read_to_string(&args.profile)?)?;
    let name = profile["name"].as_str().unwrap_or_default().to_owned();
    let mesh = start_mesh(&name).await?;
    println!("publishing {}", args.profile);
    let output = mesh.publish(&profile, &[]).await?;
    println!("{}{}", output.stdout, output.stderr);
    eyre::ensure!(
        output.code == 0,
        "publish failed with exit code {}",
        output.code
    );
    let elapsed = mesh.wait_version(1, WAIT_TIMEOUT).await?;
    println!(
        "version 1 is applied on {} nodes after {elapsed:?}",
        mesh.nodes.len()
    );
    for (node, path) in [(0, "/pages/march"), (2, "/moon-phase")] {
        let reply = mesh.call(node, path).await?;
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        let entry = &mesh.nodes[node].name;
        println!(
            "GET {path} through {entry}: {} {} {}",
            reply.status,
            reply.outcome,
            body.trim()
        );
    }
    show_decisions(&mesh);
    if args.keep {
        print_addresses(&mesh);
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn start_mesh(profile: &str) -> eyre::Result<Mesh> {
    let mut builder = MeshBuilder::new();
    for location in LOCATIONS {
        builder =
            builder
                .node(location, "parish-desk", profile)
                .node(location, "press-room", profile);
    }
    println!("starting a store, 8 nodes and 8 targets in 4 data centres");
    let mesh = builder.start().await?;
    let elapsed = mesh.wait_members(8, WAIT_TIMEOUT).await?;
    println!("every node knows all others after {elapsed:?}");
    Ok(mesh)
}

/// Prints the log lines of the routing decisions.
fn show_decisions(mesh: &Mesh) {
    for node in &mesh.nodes {
        let text = node.process.log_text();
        let lines = text
            .lines()
            .filter(|line| line.contains("AF3001") || line.contains("AF3002"));
        for line in lines {
            println!("{}: {line}", node.name);
        }
    }
}

fn print_addresses(mesh: &Mesh) {
    println!("store {}", mesh.store_url);
    for node in &mesh.nodes {
        println!(
            "{} callers {} admin {}",
            node.name, node.caller_url, node.admin_url
        );
    }
    println!("press Ctrl-C to stop the mesh");
}
