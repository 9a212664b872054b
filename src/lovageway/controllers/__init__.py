"""Controllers: one module for each piece of state, its only owner."""
