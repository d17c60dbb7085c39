"""Tools for whoever works on flintfield; nothing here serves."""
