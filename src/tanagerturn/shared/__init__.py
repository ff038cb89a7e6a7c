"""Code that entry and control processes have in common."""
