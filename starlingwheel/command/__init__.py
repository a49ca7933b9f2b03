"""Former name of `starlingwheel.cli`, kept for scripts that call it."""
