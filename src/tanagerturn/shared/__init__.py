"""Code that entry processes and control processes share."""
