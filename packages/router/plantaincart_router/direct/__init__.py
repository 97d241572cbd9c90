"""Requests sent straight from the instance that took them to an upstream."""
