"""Which routers and targets are live, and the links between routers."""
