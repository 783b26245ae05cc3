"""Read settings from INI files and report every problem in them."""
