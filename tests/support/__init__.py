"""What tests share: references to compare with, models to play on."""
