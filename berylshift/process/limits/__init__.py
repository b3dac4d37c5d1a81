"""What may be used of customers' rates, retries and calls to the store."""
