"""Test doubles for the systems around a node: the platform, the store and targets."""
