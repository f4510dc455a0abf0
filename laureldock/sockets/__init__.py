"""The rim: Twisted connections, and what they do not tell by themselves."""
