"""Adapter between the users' platform and the product.

It decides nothing: it only converts messages of the platform to the product's types and
back. The platform's names of fields, keys, paths and headers are used nowhere else.
"""
