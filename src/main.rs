//! Operators' command: publishes, withdraws and shows profiles, and shows the state of the mesh.

mod cmd;

use std::process::ExitCode;

use crate::cmd::{Invocation, OutputFormat};

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(filter).init();
    let arguments = std::env::args_os().skip(1);
    let environment = |name: &str| std::env::var(name).ok();
    match Invocation::parse(arguments, environment) {
        Ok(invocation) => {
            let result = cmd::run(&invocation);
            OutputFormat {
                json: invocation.json,
            }
            .finish(&result)
        }
        Err(failure) => OutputFormat { json: failure.json }.finish(&Err(failure.error)),
    }
}
