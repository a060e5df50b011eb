package org.vanillaslip;

/** A tenant. Plan, keys, token rate and fair share of the queue are per workspace. */
public record Workspace(String name) {}
