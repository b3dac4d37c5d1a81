"""What lives for one request: admission, choice, attempts, answer."""
