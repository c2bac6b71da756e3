//! The store comes back from a copy that is older than the revocation of a key, and an instance is killed and
//! starts again before the operator has written the configuration once more.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{SERVICE_TIME, config, entry};
use crate::{
    Outcome, Verdict,
    client::{exchange, head},
    edge::{Network, seeds, start_fleet},
    record::Record,
    runner::{Runner, respond},
    store::Store,
};

const REVOKED_KEY: &str = "revoked-key";
const KEY: &str = "a-key";
/// As many as in the deployment, so that one killed process stays inside the share of its disruption.
const INSTANCES: usize = 7;
/// `revokeMs` of the deployment.
const REVOKE: Duration = Duration::from_secs(5);
/// Time from the acknowledgement of the revocation to the drill, for which the store is away then, and from its
/// return until the operator has written the configuration again.
const BEFORE_DRILL: Duration = Duration::from_secs(4);
const AWAY: Duration = Duration::from_millis(500);
const REWRITE: Duration = Duration::from_millis(2_500);

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config(7, &[("tenant-a", &[KEY, REVOKED_KEY])]));
    let runner = Runner::start(&network.ip(), "i-1", record, |request, stream| {
        thread::sleep(SERVICE_TIME);
        respond(stream, request, "ok")
    })?;
    runner.register(&store, &entry("libro", 6, "ready"));
    let mut fleet = start_fleet(&network, &store, INSTANCES, record)?;
    let seeds = seeds(fleet.iter().map(|it| &it.addresses));
    let (other, restarted) = (fleet[0].addresses.front, fleet[1].addresses.front);
    thread::sleep(Duration::from_secs(3));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(500));

    let revoked = config(8, &[("tenant-a", &[KEY])]);
    store.put("op/config", &revoked);
    let acknowledged = Instant::now();
    record.note("version 8 is acknowledged: the key is revoked");
    thread::sleep(BEFORE_DRILL);
    if has_trouble {
        store.drill(copy, AWAY);
        record.note("the store is back from a copy with version 7");
    }
    let back = Instant::now();
    fleet[1].kill()?;
    fleet[1].start_again(&store, &seeds, record)?;
    let ask = |front, id: &str| {
        let request =
            head("GET", "/saldo/x", id, REVOKED_KEY, "X-Clementinehall-Deadline-Ms: 4000\r\n");
        let status = exchange(front, request.as_bytes()).map_or(0, |it| it.0.status());
        record.note(&format!("{id} is answered {status}"));
    };
    thread::sleep((acknowledged + REVOKE).saturating_duration_since(Instant::now()));
    let late_from = Instant::now();
    for no in 0.. {
        if back.elapsed() >= REWRITE {
            break;
        }
        ask(restarted, &format!("restarted-{no}"));
        ask(other, &format!("other-{no}"));
        thread::sleep(Duration::from_millis(50));
    }
    if has_trouble {
        store.put("op/config", &revoked);
        record.note("the operator has written version 8 again");
    }
    thread::sleep(Duration::from_secs(2));
    ask(restarted, "restarted-last");
    let arrivals = runner.arrivals.lock().unwrap();
    let late = |place: &str| {
        arrivals.iter().filter(|it| it.at > late_from && it.request.id().starts_with(place)).count()
    };
    let (restarted, other) = (late("restarted"), late("other"));
    let seen = format!(
        "{restarted} requests with the revoked key ran over {REVOKE:?} after its revocation at the instance \
         that had started again, {other} at another one"
    );
    Ok(if restarted + other > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}
