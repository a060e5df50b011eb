package org.vanillaslip.internal.quota;

/** A slot as recorded by the owner that granted it. */
record GrantedSlot(long grantedAt, long expiresAt) {}
