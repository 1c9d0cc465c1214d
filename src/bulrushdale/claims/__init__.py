"""At-most-once execution of calls that carry an idempotency key."""
