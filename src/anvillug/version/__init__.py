"""Configuration versions, and rollouts of backend server versions."""
