package org.vanillaslip.internal.speed;

/** Class of a server by its speed. */
public enum SpeedBand {
    SLOW,
    USUAL,
    FAST;

    private static final double SLOW_BELOW = 0.8;
    private static final double FAST_ABOVE = 1.25;

    static SpeedBand of(double speed) {
        if (speed < SLOW_BELOW) {
            return SLOW;
        }
        return speed > FAST_ABOVE ? FAST : USUAL;
    }
}
