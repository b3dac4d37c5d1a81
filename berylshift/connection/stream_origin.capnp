@0xd4b1f0a6273c5e98;
# Records, queries and replies on the software versions that began streams.

struct OriginMessage {
  host @0 :Text;
  # Records: one item of each list per stream.
  streams @1 :List(UInt64);
  variants @2 :List(UInt32);
  # Number of a query and of its reply; 0: neither.
  number @3 :UInt32;
  # Queries: the stream, the service and how far back the stream may have begun.
  asked @4 :UInt64;
  service @5 :UInt32;
  deciseconds @6 :UInt16;
  isReply @7 :Bool;
  # Replies.
  isKnown @8 :Bool;
  hasSeveral @9 :Bool;
  variant @10 :UInt32;
  # 0: none.
  soleVariant @11 :UInt32;
  # The store's revision and era, and the version of the routes, up to which
  # soleVariant holds.
  until @12 :UInt64;
  era @13 :UInt32;
  routes @14 :UInt64;
  # Queries: where the sender receives digests.
  address @15 :Text;
}
