//! The commands on running instances: `dump`, `health` and `status`.

use std::{collections::BTreeSet, io::Write, net::SocketAddr, time::Duration};

use futures::future::join_all;
use serde_json::Value;

use crate::{Error, Verdict, admin, error::CallError, table::Table};

/// Printed in the table for a field that is missing in the dump.
const NO_VALUE: &str = "-";

pub(crate) fn dump(
    address: SocketAddr,
    timeout: Duration,
    out: &mut impl Write,
) -> Result<Verdict, Error> {
    let dump = async_io::block_on(admin::dump(address, timeout));
    let dump = dump.map_err(|err| Error::call(address, err))?;
    writeln!(out, "{dump:#}")?;
    Ok(Verdict::Pass)
}

pub(crate) fn health(
    address: SocketAddr,
    timeout: Duration,
    out: &mut impl Write,
) -> Result<Verdict, Error> {
    let get = |path| async_io::block_on(admin::get(address, path, timeout));
    let alive = get("/healthz").map_err(|err| Error::call(address, err))?;
    let ready = get("/readyz").map_err(|err| Error::call(address, err))?;
    let alive = alive.status.is_success();
    let ready = ready.status.is_success();
    let states =
        [if alive { "healthy" } else { "not healthy" }, if ready { "ready" } else { "not ready" }];
    writeln!(out, "{}", states.join(", "))?;
    Ok(Verdict::pass_if(alive && ready))
}

pub(crate) fn status(
    addresses: &[SocketAddr],
    timeout: Duration,
    out: &mut impl Write,
) -> Result<Verdict, Error> {
    let dumps = join_all(addresses.iter().map(|address| admin::dump(*address, timeout)));
    let dumps = async_io::block_on(dumps);
    let rows: Vec<_> = addresses.iter().zip(&dumps).map(Row::new).collect();
    write_table(&rows, out)?;
    write_differences(&rows, out)?;
    write_problems(&rows, out)?;
    Ok(Verdict::pass_if(rows.iter().all(Row::is_ready)))
}

/// The dump of one instance, or why there is none.
struct Row<'a> {
    address: SocketAddr,
    dump: &'a Result<Value, CallError>,
}

impl<'a> Row<'a> {
    fn new((address, dump): (&SocketAddr, &'a Result<Value, CallError>)) -> Self {
        Self { address: *address, dump }
    }

    /// Returns a field of the dump; none if it is missing or null, or if there is no dump.
    fn field(&self, name: &str) -> Option<&'a Value> {
        self.dump.as_ref().ok()?.get(name).filter(|value| !value.is_null())
    }

    fn is_ready(&self) -> bool {
        self.field("ready") == Some(&Value::Bool(true))
    }

    /// Returns the text of a field: the number of elements of a list, the field `total` of an
    /// object or else the number of its fields, and other values as they are.
    fn cell(&self, name: &str) -> String {
        match self.field(name) {
            Some(Value::Array(list)) => list.len().to_string(),
            Some(Value::Object(fields)) => match fields.get("total") {
                Some(total) => total.to_string(),
                None => fields.len().to_string(),
            },
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => NO_VALUE.to_owned(),
        }
    }

    fn state(&self) -> String {
        match (self.dump, self.is_ready()) {
            (Err(err), _) => err.to_string(),
            (Ok(_), true) => "ready".to_owned(),
            (Ok(_), false) => "not ready".to_owned(),
        }
    }
}

fn write_table(rows: &[Row<'_>], out: &mut impl Write) -> Result<(), Error> {
    let mut table = Table::new([
        "ADDRESS", "INSTANCE", "ZONE", "CONFIG", "LIST", "PEERS", "SHARDS", "CELLS", "REQUESTS",
        "STATE",
    ]);
    for row in rows {
        table.push([
            row.address.to_string(),
            row.cell("instance"),
            row.cell("zone"),
            row.cell("config_version"),
            row.cell("list_version"),
            row.cell("peers"),
            row.cell("shards"),
            row.cell("cells"),
            row.cell("requests"),
            row.state(),
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Writes which instances cannot read the platform and which ones rejected a configuration.
fn write_problems(rows: &[Row<'_>], out: &mut impl Write) -> Result<(), Error> {
    for row in rows {
        for (name, service) in
            [("config_down", "configuration service"), ("list_down", "instance list")]
        {
            if row.field(name) == Some(&Value::Bool(true)) {
                writeln!(out, "{}: cannot read the {service}", row.address)?;
            }
        }
        if row.field("config_rejected").is_some() {
            let findings = row.cell("config_rejected");
            writeln!(out, "{}: rejected a configuration:\n{findings}", row.address)?;
        }
    }
    Ok(())
}

/// Writes the versions of the configuration and of the instance list where instances differ.
fn write_differences(rows: &[Row<'_>], out: &mut impl Write) -> Result<(), Error> {
    for (name, title) in [("config_version", "configuration"), ("list_version", "instance list")] {
        let versions: BTreeSet<_> =
            rows.iter().filter_map(|row| row.field(name)?.as_u64()).collect();
        if versions.len() > 1 {
            let versions: Vec<_> = versions.iter().map(ToString::to_string).collect();
            writeln!(out, "versions of the {title} differ: {}", versions.join(", "))?;
        }
    }
    Ok(())
}
