"""Soak test of planned stops: real proxies, callers that stay connected, slow links."""
