"""Commands of ``balsamspool-ctl``. Each module here registers its command on import."""
