@0xb7c1f04e8d2a6395;
# Messages that open a tunnel to a replica through another host.

struct TunnelRequest {
  instance @0 :Text;
  # IP:PORT of the replica.
  address @1 :Text;
}

struct TunnelReply {
  # A value of TunnelStatus.
  status @0 :UInt8;
}
