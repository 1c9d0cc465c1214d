"""Answers of engines: checked, resumed and relayed whole."""
