"""Clients of the platform: the log and the list of VMs."""
