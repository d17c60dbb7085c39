"""What a dispatcher is told, what it decides, and what it keeps for that."""
