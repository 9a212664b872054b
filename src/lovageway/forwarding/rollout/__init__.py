"""Roll-outs: moves a service to servers of another version while it watches their answers."""
