package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * An order to send to an engine now.
 *
 * @param adapter empty if the order is for the model itself
 * @param loadTarget model, or model and adapter, that this order loads or frees memory for
 * @param expectedDuration expected time until the order is completed
 * @param fromStore whether the engine reads the weights from the weight store
 * @param reason text for the log
 */
public record PlannedOrder(
        String instance,
        OrderKind kind,
        String model,
        Optional<String> adapter,
        String loadTarget,
        Duration expectedDuration,
        boolean fromStore,
        String reason) {}
