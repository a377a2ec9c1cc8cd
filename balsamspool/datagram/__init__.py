"""Code shared by the entry and the agent of the front end for opaque flows."""
