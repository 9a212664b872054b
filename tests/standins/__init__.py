"""Small processes that take the place of the platform and of back ends in tests."""
