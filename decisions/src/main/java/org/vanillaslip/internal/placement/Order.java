package org.vanillaslip.internal.placement;

/**
 * A command that tells a backend server to execute a recorded decision.
 *
 * @param source location of the checkpoint: {@code memory}, {@code disk} or {@code remote}
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
