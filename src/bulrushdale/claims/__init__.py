"""At-most-once service requests, by the idempotency keys they carry."""
