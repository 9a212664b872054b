"""Forwarding path: sends arbitrary HTTP requests to backend servers according to a route table."""
