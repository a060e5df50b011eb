package org.vanillaslip.internal.fleet;

import java.time.Duration;
import org.vanillaslip.ModelName;

/**
 * Calls that wait because no server has loaded the model or its adapter.
 *
 * @param waiting number of waiting calls
 * @param objectiveLeft time until the earliest objective; negative if it has passed
 * @param deadlineLeft time until the latest deadline
 * @param priority most urgent priority among the calls; 0 is the most urgent
 */
public record LoadDemand(
        ModelName model, int waiting, Duration objectiveLeft, Duration deadlineLeft, int priority) {

    /** Merges the demand of two hosts for the same model. */
    public LoadDemand mergedWith(LoadDemand other) {
        return new LoadDemand(
                model,
                waiting + other.waiting,
                objectiveLeft.compareTo(other.objectiveLeft) < 0
                        ? objectiveLeft
                        : other.objectiveLeft,
                deadlineLeft.compareTo(other.deadlineLeft) > 0 ? deadlineLeft : other.deadlineLeft,
                Math.min(priority, other.priority));
    }
}
