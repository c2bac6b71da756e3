//! Prints the configuration of the collections desk, with addresses and keys to replace.

use declare::{
    Findings,
    deployment::{Site, alfombras},
};

const RUNNERS: u8 = 12;
const LEDGER_RUNNERS: u8 = 3;
const ACCOUNTS: usize = 10;

fn main() -> Result<(), Findings> {
    let site = Site::example(RUNNERS, LEDGER_RUNNERS, ACCOUNTS);
    println!("{}", alfombras(&site).publish()?);
    Ok(())
}
