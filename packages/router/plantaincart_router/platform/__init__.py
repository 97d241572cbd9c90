"""Clients of the platform: table, object store and list of instances."""
