"""Code shared by the programs of bronzepoint; import from its sub-packages."""
