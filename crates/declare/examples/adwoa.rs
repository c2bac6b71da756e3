//! Prints the configuration of the group of kitchens, with addresses and keys to replace.

use declare::{
    Findings,
    deployment::{Site, adwoa},
};

const RUNNERS: u8 = 9;
const STOCK_RUNNERS: u8 = 3;
const ACCOUNTS: usize = 10;

fn main() -> Result<(), Findings> {
    let site = Site::example(RUNNERS, STOCK_RUNNERS, ACCOUNTS);
    println!("{}", adwoa(&site).publish()?);
    Ok(())
}
