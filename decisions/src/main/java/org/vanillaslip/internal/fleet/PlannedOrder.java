package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * An order that should be given now.
 *
 * @param adapter empty for the model itself
 * @param purpose model, or model and adapter, that is to be loaded in the end
 * @param expectedDuration expected time until it is done
 * @param fromStore whether the weight store is read
 * @param reason why, for the log
 */
public record PlannedOrder(
        String instance,
        OrderKind kind,
        String model,
        Optional<String> adapter,
        String purpose,
        Duration expectedDuration,
        boolean fromStore,
        String reason) {}
