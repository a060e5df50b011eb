package org.vanillaslip.internal.stream;

import java.util.OptionalLong;

/**
 * One complete server-sent event.
 *
 * @param id number in the {@code id} field; empty if the field is absent or not a number
 * @param bytes received bytes of the event, including the blank line that ends it
 */
public record StreamEvent(OptionalLong id, byte[] bytes) {}
