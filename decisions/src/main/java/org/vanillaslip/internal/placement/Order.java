package org.vanillaslip.internal.placement;

/**
 * The command that carries out one recorded decision.
 *
 * @param source place to load from: {@code memory}, {@code disk} or {@code remote}
 */
public record Order(
        long decision,
        long term,
        String server,
        String incarnation,
        OrderAction action,
        String model,
        String version,
        String adapter,
        String source) {}
