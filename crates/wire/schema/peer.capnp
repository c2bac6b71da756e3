@0xd4a1f3c2b59e7086;
# The protocol between instances of the daemon.
#
# Compatibility: fields and union members are only added, with new numbers. A receiver ignores messages
# of unknown types. Durations are in microseconds; ids are those of the model crate.

interface Peer {
  # The service that an instance provides to the other instances.

  deliver @0 (envelope :Envelope) -> ();
  # Delivers messages. The response only confirms that they were received; replies are messages.
}

struct Envelope {
  protocol @0 :UInt16;
  # The newest protocol version that the sender supports.
  from @1 :UInt64;
  # The sender's instance id.
  incarnation @2 :UInt64;
  # The sender's incarnation.
  to @3 :UInt64;
  # The id of the intended receiver: the address may meanwhile belong to another instance.
  messages @4 :List(Message);
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    configPull @1 :Void;
    configDoc @2 :ConfigDoc;
    tokenAsk @3 :TokenAsk;
    tokenGive @4 :TokenGive;
    tokenQueued @5 :TokenQueued;
    tokenDeny @6 :TokenDeny;
    tokenCancel @7 :TokenCancel;
    tokenSpent @8 :TokenLease;
    tokenReturn @9 :TokenLease;
    cellAcquire @10 :CellAcquire;
    cellQueued @11 :CellQueued;
    cellGrant @12 :CellGrant;
    cellRefuse @13 :CellRefuse;
    cellCancel @14 :CellCancel;
    cellRelease @15 :CellRelease;
    cellPreempt @16 :CellPreempt;
    cellHeld @17 :CellHeld;
    cellReclaim @18 :CellId;
    onceClaim @19 :OnceClaim;
    onceAnswer @20 :OnceAnswer;
    onceFree @21 :OnceFree;
    shareState @22 :ShareState;
    cellState @23 :CellState;
    listDoc @24 :ConfigDoc;
  }
}

struct CellId { pool @0 :UInt64; zone @1 :UInt64; }
struct ShareId { account @0 :UInt64; zone @1 :UInt64; }
struct Wide { high @0 :UInt64; low @1 :UInt64; }

struct Heartbeat {
  nonce @0 :UInt64;
  ack @1 :Bool;
  leaving @2 :Bool;
  config @3 :UInt64;
  list @4 :UInt64;
  cells @5 :List(CellLoad);
}
struct CellLoad { cell @0 :CellId; free @1 :UInt32; waiting @2 :UInt32; }
struct ConfigDoc { version @0 :UInt64; text @1 :Text; }

struct TokenAsk { ask @0 :UInt64; share @1 :ShareId; wait @2 :UInt64; }
struct TokenGive { ask @0 :UInt64; share @1 :ShareId; lease @2 :UInt64; ttl @3 :UInt64; }
struct TokenQueued { ask @0 :UInt64; share @1 :ShareId; eta @2 :UInt64; }
struct TokenDeny { ask @0 :UInt64; share @1 :ShareId; reason @2 :Reason; retryAfter @3 :UInt64; }
struct TokenCancel { ask @0 :UInt64; share @1 :ShareId; }
struct TokenLease { share @0 :ShareId; lease @1 :UInt64; }

enum Reason {
  badRequest @0;
  tooLarge @1;
  slowCaller @2;
  noRoute @3;
  noKey @4;
  overRate @5;
  capacity @6;
  noServer @7;
  notReady @8;
  noOwner @9;
  duplicate @10;
  maybeDuplicate @11;
  serverFailed @12;
  serverTimeout @13;
  callerLeft @14;
}

struct CellAcquire {
  ticket @0 :UInt64;
  cell @1 :CellId;
  account @2 :UInt64;
  class @3 :UInt64;
  tier @4 :UInt8;
  wait @5 :UInt64;
  prefix @6 :UInt64;
  idempotent @7 :Bool;
  avoid @8 :List(UInt64);
}
struct CellQueued { ticket @0 :UInt64; cell @1 :CellId; eta @2 :UInt64; }
struct CellGrant {
  ticket @0 :UInt64;
  cell @1 :CellId;
  grant @2 :UInt64;
  server @3 :UInt64;
  startWithin @4 :UInt64;
}
struct CellRefuse { ticket @0 :UInt64; cell @1 :CellId; reason @2 :Reason; retryAfter @3 :UInt64; }
struct CellCancel { ticket @0 :UInt64; cell @1 :CellId; }
struct CellRelease {
  cell @0 :CellId;
  grant @1 :UInt64;
  server @2 :UInt64;
  cold @3 :Bool;
  end :union {
    completed @4 :Completed;
    connectFailed @5 :Void;
    serverBusy @6 :Void;
    broken @7 :Bool;
    timedOut @8 :Bool;
    callerLeft @9 :Void;
    preempted @10 :Void;
    unused @11 :Void;
  }
}
struct Completed { firstByte @0 :UInt64; total @1 :UInt64; tokens @2 :UInt32; }
struct CellPreempt { cell @0 :CellId; grant @1 :UInt64; }
struct CellHeld { cell @0 :CellId; grants @1 :List(HeldGrant); }
struct HeldGrant {
  grant @0 :UInt64;
  server @1 :UInt64;
  account @2 :UInt64;
  class @3 :UInt64;
  tier @4 :UInt8;
  idempotent @5 :Bool;
}

struct OnceClaim { ask @0 :UInt64; key @1 :Wide; resend @2 :Bool; }
struct OnceAnswer { ask @0 :UInt64; key @1 :Wide; verdict @2 :Verdict; }
struct OnceFree { ask @0 :UInt64; key @1 :Wide; }
enum Verdict { new @0; seen @1; unsure @2; }

struct ShareState { share @0 :ShareId; levelMilli @1 :UInt64; leases @2 :List(ShareLease); }
struct ShareLease { holder @0 :UInt64; incarnation @1 :UInt64; lease @2 :UInt64; ttl @3 :UInt64; ask @4 :UInt64; }
struct CellState {
  cell @0 :CellId;
  servers @1 :List(ServerWarmth);
  grants @2 :List(OwnedGrant);
}
struct ServerWarmth { server @0 :UInt64; limit @1 :UInt32; }
struct OwnedGrant { holder @0 :UInt64; incarnation @1 :UInt64; held @2 :HeldGrant; }
