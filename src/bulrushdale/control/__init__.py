"""Messages of the persistent link between two routers."""
