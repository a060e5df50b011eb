package org.vanillaslip.internal.fleet;

import java.util.Optional;
import org.vanillaslip.internal.serving.ServingPlan;

/** The configuration in force on this host. */
@FunctionalInterface
public interface PlanView {

    /** Returns the configuration in force; empty until the first one has been read. */
    Optional<ServingPlan> current();
}
