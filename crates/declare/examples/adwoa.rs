//! Prints the configuration of the group of kitchens, with placeholders for addresses and keys.

use declare::{
    Findings,
    deployment::{Site, adwoa},
};

const RUNNERS: u8 = 9;
const STOCK_SERVERS: u8 = 3;
const ACCOUNTS: usize = 10;

fn main() -> Result<(), Findings> {
    let site = Site::example(RUNNERS, STOCK_SERVERS, ACCOUNTS);
    println!("{}", adwoa(&site).publish()?);
    Ok(())
}
