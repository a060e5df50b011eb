package org.vanillaslip.internal.fleet;

import java.util.Optional;
import org.vanillaslip.internal.serving.ServingPlan;

/** The configuration in force on this host. */
@FunctionalInterface
public interface PlanView {

    /** Returns the newest version, or nothing until the first is known. */
    Optional<ServingPlan> current();
}
