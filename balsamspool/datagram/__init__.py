"""Parts that entry and agent of the front end for opaque flows have in common."""
