package org.vanillaslip.internal.fleet;

import java.util.Optional;
import org.vanillaslip.ModelName;

/** What a call needs of a server: a pool and, for model engines, a loaded model. */
public record CallTarget(String pool, Optional<ModelName> model) {}
