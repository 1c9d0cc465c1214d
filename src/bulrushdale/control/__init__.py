"""Messages that two routers exchange on their standing link."""
