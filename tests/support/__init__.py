"""What several tests share: stand-ins, worlds and reference models."""
