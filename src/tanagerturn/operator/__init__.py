"""Command line `tanager`, with which operators administer a deployment."""
