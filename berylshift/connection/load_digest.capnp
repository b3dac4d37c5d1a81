@0xe4b86f20c7a91d35;
# What one entry host has under way at replicas, told to the others.

struct LoadDigest {
  host @0 :Text;
  sequence @1 :UInt32;
  entries @2 :Entries;
  reads @3 :PartReads;
  phases @4 :List(PhaseTold);
  # Whose work: 0 one host's, 1 a failure domain's, 2 all hosts'.
  scope @5 :UInt8;
  domain @6 :Text;
  # Hosts whose work it is.
  hosts @7 :UInt16;
  # Whether the sender reads the store's feeds for the others.
  follows @8 :Bool;
  word @9 :StoreWord;
  crashes @10 :Crashes;
  # Fingerprints of requests that ran to their end after a replica broke off.
  finished @11 :List(UInt64);
  # Unix milliseconds of the sender's start.
  start @12 :UInt64;
  runs @13 :Runs;
  # The last window of usage that is over and done with.
  usageDone @14 :UInt32;
  limits @15 :Limits;
}

# Rate limits that replicas named, an item of each list for one replica.
struct Limits {
  targets @0 :List(UInt32);
  # Requests a second; below 0: the replica names no limit any more.
  perSecond @1 :List(Float32);
  # In tenths of a second.
  ages @2 :List(UInt8);
}

# Requests that began to run, an item of each list for one customer and window.
struct Runs {
  firstWindow @0 :UInt32;
  # Counted from the first window.
  windows @1 :List(UInt8);
  # Hashes of customers' names.
  customers @2 :List(UInt32);
  counts @3 :List(UInt32);
}

# Replicas that broke off while they had a request, an item of each list for one.
struct Crashes {
  requests @0 :List(UInt64);
  targets @1 :List(UInt32);
  # In tenths of a second.
  ages @2 :List(UInt16);
}

struct FeedWord {
  changed @0 :UInt64;
  revision @1 :UInt64;
  # The store's steady clock.
  storeMs @2 :UInt64;
  # In which all of this counts.
  era @3 :UInt32;
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

# Lists side by side, an item of each for one read. Python decodes them faster than a
# list of structs.
struct PartReads {
  parts @0 :List(UInt32);
  targets @1 :List(UInt32);
  # In units of 16 tokens.
  tokens @2 :List(UInt16);
}

# The same for the work at each replica.
struct Entries {
  # The low half of the instance's hash: names would be most of a datagram.
  targets @0 :List(UInt32);
  inFlight @1 :List(UInt16);
  # Prompt tokens yet to be read, by urgency, in units of 16 tokens.
  urgent @2 :List(UInt16);
  usual @3 :List(UInt16);
  patient @4 :List(UInt16);
  # Recent failures, in units of 1/32, and what a second host holds against it.
  failures @5 :List(UInt8);
  second @6 :List(UInt8);
}
