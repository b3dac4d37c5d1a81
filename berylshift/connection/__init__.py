"""Network connections: HTTP server and clients, peer datagrams, target clients."""
