@0xc1d5f3a7b2e84690;
# Datagrams between entry hosts. Times are in milliseconds, sizes in tokens.

struct Digest {
  host @0 :Text;
  incarnation @1 :Text;
  sequence @2 :UInt64;
  tableVersion @3 :UInt64;
  storeAgeMs @4 :UInt32;
  leaving @5 :Bool;
  echoes @6 :List(Echo);
  shares @7 :List(Share);
  demands @8 :List(Demand);
  planVersion @9 :UInt64;
  mixes @10 :List(Mix);
  isReply @11 :Bool;
  crashes @12 :List(Crash);
  # Fingerprints of calls that completed after an earlier target crash.
  finished @13 :List(UInt64);
  # Keys of prompt prefixes in place of calls; target 0: the prefix completed.
  blocks @14 :List(Crash);
}

# A target that crashed while running a call.
struct Crash {
  request @0 :UInt64;
  target @1 :UInt32;
  ageMs @2 :UInt32;
}

struct Echo {
  host @0 :Text;
  incarnation @1 :Text;
  sequence @2 :UInt64;
}

struct Share {
  target @0 :Text;
  fleet @1 :Text;
  streams @2 :UInt32;
  prefillTokens @3 :UInt32;
}

struct Demand {
  customer @0 :Text;
  rate @1 :Float32;
}

struct Mix {
  pool @0 :Text;
  prefillRate @1 :Float32;
  decodeRate @2 :Float32;
}
