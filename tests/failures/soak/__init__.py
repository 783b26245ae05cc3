"""Soak planned stops: real proxies, callers that stay until the end, slow links."""
