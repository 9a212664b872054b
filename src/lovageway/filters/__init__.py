"""Filters: one module for each step of a request, in the order that `node` lists."""
