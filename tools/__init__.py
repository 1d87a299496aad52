"""Development tools: stand-ins, the demo launcher, a TCP relay."""
