"""Cleaner power for work that can wait or go elsewhere, by schedules that operators supply. Sites are zones.

It owns the agreed schedule and the room reserved by it. It must never go against a budget, drain, cap, cold
budget or halt, nor cost work that is not flexible anything.
"""
