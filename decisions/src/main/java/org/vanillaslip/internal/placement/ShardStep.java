package org.vanillaslip.internal.placement;

import java.util.ArrayList;
import java.util.List;

/** The result of an event: the next state and the actions to execute. */
public record ShardStep(ShardState state, List<ShardAction> actions) {

    /** Copies the list so that the record is immutable. */
    public ShardStep {
        actions = List.copyOf(actions);
    }

    /** Returns a step without actions. */
    static ShardStep of(ShardState state) {
        return new ShardStep(state, List.of());
    }

    /**
     * Returns the state of the next step with the actions of this step followed by those of the
     * next.
     */
    ShardStep then(ShardStep next) {
        List<ShardAction> all = new ArrayList<>(actions);
        all.addAll(next.actions());
        return new ShardStep(next.state(), all);
    }
}
