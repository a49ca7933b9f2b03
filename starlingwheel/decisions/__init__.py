"""The decisions (rules), the words they are spoken in (terms) and what steps them (runner)."""
