"""The direct path: each instance sends the requests it receives to the upstreams."""
