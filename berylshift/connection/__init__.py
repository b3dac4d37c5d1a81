"""What lives for one connection: HTTP, peer datagrams, target clients."""
