"""Translate between the users' platform and the product.

Nothing here decides anything: messages of the platform become the product's types and
back. The platform's names of fields, keys, paths and headers stay in this package.
"""
