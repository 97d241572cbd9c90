"""Data classes of messages, settings and configuration, and their codec."""
