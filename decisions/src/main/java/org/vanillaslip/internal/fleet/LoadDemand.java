package org.vanillaslip.internal.fleet;

import java.time.Duration;
import org.vanillaslip.ModelName;

/**
 * Calls that wait because no server holds the model or its adapter.
 *
 * @param waiting number of calls
 * @param objectiveLeft time until the first of them is late; negative when it is
 * @param deadlineLeft time until the last of them can no longer be served
 * @param priority most urgent priority among them; 0 is first
 */
public record LoadDemand(
        ModelName model, int waiting, Duration objectiveLeft, Duration deadlineLeft, int priority) {

    /** Joins the wishes of two hosts for the same model. */
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
