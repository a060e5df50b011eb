package org.vanillaslip.internal.quota;

/** A granted slot at its owner. */
record GrantedSlot(long grantedAt, long expiresAt) {}
