package org.vanillaslip.internal.stream;

import java.util.OptionalLong;

/**
 * One complete server-sent event.
 *
 * @param bytes the event as it arrived, with the blank line that ends it
 */
public record StreamEvent(OptionalLong id, byte[] bytes) {}
