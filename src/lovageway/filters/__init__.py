"""Filters: the steps that every request passes, in the order given by `node`."""
