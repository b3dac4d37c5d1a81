@0xe4b86f20c7a91d35;
# Requests that an entry host has in flight at replicas, sent to the other hosts.

struct LoadDigest {
  host @0 :Text;
  sequence @1 :UInt32;
  entries @2 :Entries;
  reads @3 :PartReads;
  phases @4 :List(PhaseTold);
  # Whose load this is: 0 one host's, 1 a failure domain's, 2 all hosts'.
  scope @5 :UInt8;
  domain @6 :Text;
  # Number of hosts whose load is included.
  hosts @7 :UInt16;
  # Whether the sender reads the store's feeds on behalf of other hosts.
  follows @8 :Bool;
  word @9 :StoreWord;
  crashes @10 :Crashes;
  # Fingerprints of requests that completed after an earlier replica crash.
  finished @11 :List(UInt64);
  # Start of the sender's process, in Unix milliseconds.
  start @12 :UInt64;
  runs @13 :Runs;
  # Usage is reported up to and including this window.
  usageDone @14 :UInt32;
  limits @15 :Limits;
  speeds @16 :Speeds;
  handles @17 :Handles;
  demand @18 :Demand;
  replicas @19 :List(ReplicaPiece);
  # Keys of prompt blocks in place of requests; target 0: the block completed.
  blocks @20 :Crashes;
  # Requests a second that the sender gets from its callers; 0: it does not tell.
  requestRate @21 :Float32;
  joined @22 :List(Host);
}

# A host's address, and when its process joined by the store's clock.
struct Host {
  name @0 :Text;
  address @1 :Text;
  domain @2 :Text;
  joinedMs @3 :UInt64;
  era @4 :UInt32;
}

# The fields of LoadDigest up to 15. A digest without further fields is encoded as this
# struct: with LoadDigest each absent field would still take space for its pointer.
struct BaseLoadDigest {
  host @0 :Text;
  sequence @1 :UInt32;
  entries @2 :Entries;
  reads @3 :PartReads;
  phases @4 :List(PhaseTold);
  scope @5 :UInt8;
  domain @6 :Text;
  hosts @7 :UInt16;
  follows @8 :Bool;
  word @9 :StoreWord;
  crashes @10 :Crashes;
  finished @11 :List(UInt64);
  start @12 :UInt64;
  runs @13 :Runs;
  usageDone @14 :UInt32;
  limits @15 :Limits;
}

# Part of the changes of the replica feed between two revisions.
struct ReplicaPiece {
  # Short hash of the host that read the feed.
  origin @0 :UInt32;
  era @1 :UInt32;
  # Between these two revisions the list was the same.
  since @2 :UInt64;
  until @3 :UInt64;
  # Revision after the changes.
  to @4 :UInt64;
  index @5 :UInt16;
  count @6 :UInt16;
  put @7 :List(ReplicaEntry);
  # Names of removed entries.
  removed @8 :List(Text);
  # Services and domains, which entries refer to by index.
  texts @9 :List(Text);
}

struct ReplicaEntry {
  name @0 :Text;
  address @1 :Text;
  # Start of the replica in Unix milliseconds, if it reports that.
  startedMs @2 :UInt64;
  revision @3 :UInt64;
  slots @4 :UInt32;
  service @5 :UInt8;
  domain @6 :UInt8;
  # 0 none, 1 prefill, 2 decode.
  phase @7 :UInt8;
  hasStart @8 :Bool;
  draining @9 :Bool;
  interruptible @10 :Bool;
  # Index of the software version in the texts, plus one; 0: unknown.
  version @11 :UInt8;
}

# What hosts learned of replicas' speeds; one item of each list per update.
struct Speeds {
  targets @0 :List(UInt32);
  # 0 stated time factor, 1 time factor of a prefill, 2 longest gap between events.
  kinds @1 :List(UInt8);
  # Factors in percent, gaps in milliseconds.
  values @2 :List(UInt16);
  # In units of 0.02 seconds.
  ages @3 :List(UInt8);
}

# KV handles that were fetched and lost; one item of each list per engine.
struct Handles {
  targets @0 :List(UInt32);
  # Decayed counts in units of 1/16.
  uses @1 :List(UInt8);
  losses @2 :List(UInt8);
}

# Prefill tokens that customers asked for; one item of each list per customer.
struct Demand {
  # Low halves of the hashes of service names.
  services @0 :List(UInt16);
  # Hashes of customer names; 0 stands for all of the service's.
  customers @1 :List(UInt32);
  # Decayed counts.
  tokens @2 :List(UInt32);
}

# Rate limits that replicas announced; one item of each list per replica.
struct Limits {
  targets @0 :List(UInt32);
  # Requests per second; below 0: the replica no longer announces a limit.
  perSecond @1 :List(Float32);
  # In units of 0.1 seconds.
  ages @2 :List(UInt8);
}

# Started requests; one item of each list per customer and usage window.
struct Runs {
  firstWindow @0 :UInt32;
  # Offsets from the first window.
  windows @1 :List(UInt8);
  # Hashes of customer names.
  customers @2 :List(UInt32);
  counts @3 :List(UInt32);
}

# Replicas that crashed while running a request; one item of each list per crash.
struct Crashes {
  requests @0 :List(UInt64);
  targets @1 :List(UInt32);
  # In units of 0.1 seconds.
  ages @2 :List(UInt16);
}

struct FeedWord {
  changed @0 :UInt64;
  revision @1 :UInt64;
  # The store's monotonic clock.
  storeMs @2 :UInt64;
  # Store era in which the other fields are valid.
  era @3 :UInt32;
}

struct StoreWord {
  routes @0 :FeedWord;
  replicas @1 :FeedWord;
  backMs @2 :UInt64;
}

struct PhaseTold {
  target @0 :UInt32;
  # Whether the engine was ordered to prefill; otherwise, to decode.
  reads @1 :Bool;
  # Time since the order, in units of 0.1 seconds.
  age @2 :UInt8;
}

# Prefilled prompt blocks; one item of each list per prefill. Python decodes parallel
# lists faster than a list of structs.
struct PartReads {
  parts @0 :List(UInt32);
  targets @1 :List(UInt32);
  # In units of 16 tokens.
  tokens @2 :List(UInt16);
}

# Load of replicas, also as parallel lists; one item of each list per replica.
struct Entries {
  # Low half of the hash of the instance name: full names would fill the datagram.
  targets @0 :List(UInt32);
  inFlight @1 :List(UInt16);
  # Prompt tokens not yet prefilled, by urgency, in units of 16 tokens.
  urgent @2 :List(UInt16);
  usual @3 :List(UInt16);
  patient @4 :List(UInt16);
  # Weight of recent failures in units of 1/32, and the second-highest host's weight.
  failures @5 :List(UInt8);
  second @6 :List(UInt8);
}
