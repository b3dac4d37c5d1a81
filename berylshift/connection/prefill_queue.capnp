@0xc2a7d95e1f60b483;
# Queries, replies and notices on the queues of prefill engines, between hosts.

struct QueueMessage {
  host @0 :Text;
  # Number of a query and of its reply.
  query @1 :UInt32;
  # Hashes of the engines that a query asks for.
  asked @2 :List(UInt32);
  # Replies: one item of each list per engine; tokens by urgency in units of 16.
  targets @3 :List(UInt32);
  urgent @4 :List(UInt16);
  usual @5 :List(UInt16);
  patient @6 :List(UInt16);
  # Whether the sender of the reply may not know all open prefills yet.
  incomplete @7 :Bool;
  # Notices: one item of each list per prefill.
  openedTargets @8 :List(UInt32);
  openedTickets @9 :List(UInt64);
  openedUnits @10 :List(UInt16);
  openedUrgencies @11 :List(UInt8);
  closedTargets @12 :List(UInt32);
  closedTickets @13 :List(UInt64);
  # Queries: where the sender receives digests.
  address @14 :Text;
}
