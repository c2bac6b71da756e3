//! Prints the configuration of the collections desk, with placeholders for addresses and keys.

use declare::{
    Findings,
    deployment::{Site, alfombras},
};

const RUNNERS: u8 = 12;
const LEDGER_SERVERS: u8 = 3;
const ACCOUNTS: usize = 10;

fn main() -> Result<(), Findings> {
    let site = Site::example(RUNNERS, LEDGER_SERVERS, ACCOUNTS);
    println!("{}", alfombras(&site).publish()?);
    Ok(())
}
