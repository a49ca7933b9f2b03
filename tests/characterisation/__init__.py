"""Tests against output recorded at commit b81049c: refactoring must not change the program's behaviour."""
