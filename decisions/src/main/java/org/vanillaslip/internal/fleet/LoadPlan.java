package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.vanillaslip.ModelName;

/**
 * Orders to give now, and when each wanted model is expected to be loaded.
 *
 * @param expectedWaits wanted models that no server can load are missing
 */
public record LoadPlan(List<PlannedOrder> orders, Map<ModelName, Duration> expectedWaits) {}
