package org.vanillaslip.internal.quota;

/** A granted slot at its owner. */
record GivenSlot(long grantedAt, long expiresAt) {}
