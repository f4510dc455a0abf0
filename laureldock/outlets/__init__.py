"""Outlets: who hears of mails that end undelivered."""
