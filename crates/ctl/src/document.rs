//! The commands on documents: `check`, `schema`, `diff` and `hash-key`.

use std::{
    fs,
    io::{self, Read, Write},
    path::Path,
};

use config::{Config, Findings, InstanceList, Settings};
use model::prelude::KeyHash;

use crate::{Error, Verdict, args::Kind};

const STANDARD_INPUT: &str = "-";

pub(crate) fn check(kind: Kind, file: &Path, out: &mut impl Write) -> Result<Verdict, Error> {
    let text = read(file)?;
    let findings = match kind {
        Kind::Config => Config::check(&text).findings,
        Kind::Settings => Settings::check(&text).findings,
        Kind::Instances => InstanceList::check(&text).findings,
    };
    if !findings.is_empty() {
        writeln!(out, "{findings}")?;
    }
    if findings.has_errors() {
        return Ok(Verdict::Fail);
    }
    writeln!(out, "{}: ok", file.display())?;
    Ok(Verdict::Pass)
}

pub(crate) fn schema(kind: Kind, out: &mut impl Write) -> Result<Verdict, Error> {
    let schema = match kind {
        Kind::Config => Config::schema(),
        Kind::Settings => Settings::schema(),
        Kind::Instances => InstanceList::schema(),
    };
    writeln!(out, "{schema:#}")?;
    Ok(Verdict::Pass)
}

pub(crate) fn diff(old: &Path, new: &Path, out: &mut impl Write) -> Result<Verdict, Error> {
    let configs = [Config::parse(&read(old)?), Config::parse(&read(new)?)];
    let (old, new) = match configs {
        [Ok(old), Ok(new)] => (old, new),
        results => {
            for (file, result) in [old, new].iter().zip(results) {
                write_findings(file, result.err(), out)?;
            }
            return Ok(Verdict::Fail);
        }
    };
    for change in config::diff(&old, &new) {
        writeln!(out, "{change}")?;
    }
    if new.version <= old.version && new != old {
        let versions = format!("{} is not higher than {}", new.version, old.version);
        writeln!(out, "/version: warning: {versions}, instances ignore the new configuration")?;
    }
    Ok(Verdict::Pass)
}

pub(crate) fn hash_key(out: &mut impl Write) -> Result<Verdict, Error> {
    let text = read(Path::new(STANDARD_INPUT))?;
    let key = text.strip_suffix('\n').unwrap_or(&text);
    let key = key.strip_suffix('\r').unwrap_or(key);
    if key.is_empty() {
        return Err(Error::NoKey);
    }
    writeln!(out, "{}", KeyHash::of(key.as_bytes()).to_hex())?;
    Ok(Verdict::Pass)
}

fn write_findings(file: &Path, findings: Option<Findings>, out: &mut impl Write) -> io::Result<()> {
    let Some(findings) = findings else { return Ok(()) };
    for finding in &findings {
        writeln!(out, "{}: {finding}", file.display())?;
    }
    Ok(())
}

fn read(file: &Path) -> Result<String, Error> {
    if file != Path::new(STANDARD_INPUT) {
        return fs::read_to_string(file).map_err(|err| Error::read(file, err));
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text).map_err(|err| Error::read(file, err))?;
    Ok(text)
}
