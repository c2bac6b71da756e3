//! `clementinectl`, the operators' command-line tool.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use clap::Parser;
use ctl::{Args, Verdict, run};

fn main() -> ExitCode {
    let args = Args::parse();
    let mut out = io::stdout().lock();
    let result = run(&args, &mut out).and_then(|verdict| {
        out.flush()?;
        Ok(verdict)
    });
    match result {
        Ok(Verdict::Pass) => ExitCode::SUCCESS,
        Ok(Verdict::Fail) => ExitCode::from(1),
        // The reader closed the pipe early, as in `clementinectl dump .. | head`.
        Err(err) if err.is_broken_pipe() => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(3)
        }
    }
}
