"""Carriers: how a connect reaches a receiver."""
