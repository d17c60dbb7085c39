"""A laboratory: a model of the platform in virtual time and on sockets, a judge, experiments and reports.

It plays everything below it; nothing below knows of it, and the serving process imports nothing of it.
"""
