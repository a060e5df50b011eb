package org.vanillaslip.internal.fleet;

/**
 * Reply to a request for a permit.
 *
 * @param delayMillis time until the permit is usable, or until the next send is free
 */
record SendReply(boolean granted, long delayMillis) {}
