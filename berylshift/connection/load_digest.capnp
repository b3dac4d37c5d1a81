@0xe4b86f20c7a91d35;
# What one entry host has under way at replicas, told to the others.

struct LoadDigest {
  host @0 :Text;
  sequence @1 :UInt32;
  entries @2 :List(Entry);
  reads @3 :List(PartRead);
  phases @4 :List(PhaseTold);
  # Whose work: 0 one host's, 1 a failure domain's, 2 all hosts'.
  scope @5 :UInt8;
  domain @6 :Text;
  # Hosts whose work it is.
  hosts @7 :UInt16;
  # Whether the sender reads the store's feeds for the others.
  follows @8 :Bool;
  word @9 :StoreWord;
}

struct FeedWord {
  changed @0 :UInt64;
  revision @1 :UInt64;
  # The store's steady clock.
  storeMs @2 :UInt64;
}

struct StoreWord {
  routes @0 :FeedWord;
  replicas @1 :FeedWord;
  backMs @2 :UInt64;
}

struct PhaseTold {
  target @0 :UInt32;
  # Whether the engine is to read prompts apart; else it is to answer.
  reads @1 :Bool;
  # Tenths of a second since the order.
  age @2 :UInt8;
}

struct PartRead {
  part @0 :UInt32;
  target @1 :UInt32;
  # In units of 16 tokens.
  tokens @2 :UInt16;
}

struct Entry {
  # The low half of the instance's hash: names would be most of a datagram.
  target @0 :UInt32;
  inFlight @1 :UInt16;
  # Prompt tokens yet to be read, by urgency, in units of 16 tokens.
  urgent @2 :UInt16;
  usual @3 :UInt16;
  patient @4 :UInt16;
  # Recent failures, in units of 1/32.
  failures @5 :UInt8;
  # What a second host holds against it, in the same unit.
  second @6 :UInt8;
}
