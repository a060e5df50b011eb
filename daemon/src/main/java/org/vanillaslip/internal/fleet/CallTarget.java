package org.vanillaslip.internal.fleet;

import java.util.Optional;
import org.vanillaslip.ModelName;

/** Pool that serves a call and, for model engines, the model that must be loaded. */
public record CallTarget(String pool, Optional<ModelName> model) {}
