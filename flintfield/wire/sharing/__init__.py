"""Sharing towards people: the command. Its words between instances ride on membership's datagrams."""
