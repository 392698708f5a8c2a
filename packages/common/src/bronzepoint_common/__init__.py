"""What the programs of bronzepoint share; import from its sub-packages."""
