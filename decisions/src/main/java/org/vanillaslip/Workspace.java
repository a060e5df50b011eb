package org.vanillaslip;

/** A customer's tenant: the unit that holds a plan, keys, a rate and a fair share. */
public record Workspace(String name) {}
