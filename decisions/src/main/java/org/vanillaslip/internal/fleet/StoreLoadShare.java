package org.vanillaslip.internal.fleet;

/** Limits how many engines of a pool read from the weight store at the same time. */
public final class StoreLoadShare {

    /** An engine that reads from the store for seconds takes no other order. */
    private static final double MAX_ENGINE_FRACTION = 0.5;

    private StoreLoadShare() {}

    /**
     * Returns the number of parallel loads from the store.
     *
     * @param engines number of engines that can take orders, now or after their current one
     * @param parallelLoads number of parallel loads that the store serves at full speed
     */
    public static int maxLoads(int engines, int parallelLoads) {
        return Math.min(parallelLoads, Math.max(1, (int) (engines * MAX_ENGINE_FRACTION)));
    }
}
