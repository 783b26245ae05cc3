"""Explain which targets a proxy would choose for a call, without sending it."""
