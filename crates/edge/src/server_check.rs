//! Checks whether servers have ended.

use std::{io, rc::Rc};

use aio::{Socket, deadline};
use dispatch::Event;
use model::prelude::*;

use crate::{
    Instance, attempt::set_socket_options, connection_pool::Connection, instance::ServerCheck,
};

/// Time for a connection: several round trips between zones. A server that neither accepts nor
/// refuses it in this time may run.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Carries out checks for as long as the process runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    while let Some(check) = instance.next_check().await {
        let checking = check_server(Rc::clone(&instance), check);
        instance.spawn(checking);
    }
}

/// Connects to a server. A connection that it accepts is kept for requests.
async fn check_server(instance: Rc<Instance>, check: ServerCheck) {
    let ServerCheck { server, address } = check;
    let by = instance.clock.now() + TIMEOUT;
    let connected = deadline::until(instance.clock, by, Socket::connect(address.into())).await;
    let is_down = match connected {
        Some(Ok(stream)) => {
            instance.metrics.connections_opened.inc();
            set_socket_options(&stream);
            let connection = Connection::new(stream);
            instance.connections.keep(instance.clock.now(), address, connection, None);
            false
        }
        Some(Err(err)) => err.kind() == io::ErrorKind::ConnectionRefused,
        None => false,
    };
    instance.handle_event(Event::ServerChecked { server, is_down });
}
