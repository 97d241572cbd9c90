"""Benchmarks that compare the router with simple baseline routers."""
