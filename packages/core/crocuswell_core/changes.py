"""Configuration changes and presets."""
