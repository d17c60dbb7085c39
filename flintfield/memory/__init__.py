"""What is kept in memory, and the one reducer that changes it."""
