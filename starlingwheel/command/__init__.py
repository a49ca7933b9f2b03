"""Deprecated name of `starlingwheel.cli`, kept for scripts that use it."""
