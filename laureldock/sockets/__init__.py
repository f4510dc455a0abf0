"""Twisted connections, the reactor, and what Twisted's transports do not report by themselves."""
