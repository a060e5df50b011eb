package org.vanillaslip.internal.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.vanillaslip.ModelName;

/**
 * Orders to send now, and the expected wait for each requested model.
 *
 * @param expectedWaits time until each requested model is loaded; models that no server can load
 *     are missing
 */
public record LoadPlan(List<PlannedOrder> orders, Map<ModelName, Duration> expectedWaits) {}
