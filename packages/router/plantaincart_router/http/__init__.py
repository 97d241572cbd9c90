"""HTTP/1.1 server and client on asyncio protocols and h11."""
