"""Stand-ins for the platform and upstreams, fault proxy, load driver."""
