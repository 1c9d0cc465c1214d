"""The live routers and targets, and the links between routers."""
