package org.vanillaslip.internal.placement;

/**
 * A recorded model or adapter on a backend server. Its memory counts as used in every stage.
 *
 * @param decision number of the decision that led to the current stage
 * @param term term of the holder that recorded the decision
 * @param adapter name of the adapter; empty for a base model
 */
public record Placement(
        long decision,
        long term,
        String server,
        String incarnation,
        String model,
        String version,
        String adapter,
        long memoryBytes,
        PlacementStage stage) {

    /** Returns whether the outcome of the last order is unknown. */
    public boolean unresolved() {
        return stage != PlacementStage.LOADED;
    }

    /** Returns whether this placement is of the given model version and adapter. */
    public boolean isFor(String wantedModel, String wantedVersion, String wantedAdapter) {
        return model.equals(wantedModel)
                && version.equals(wantedVersion)
                && adapter.equals(wantedAdapter);
    }

    /** Returns whether the report entry is for this model version and adapter. */
    public boolean matches(ReportedModel reported) {
        return isFor(reported.model(), reported.version(), reported.adapter());
    }

    /** Returns this placement in another stage. */
    public Placement withStage(PlacementStage newStage) {
        return withDecision(newStage, decision, term);
    }

    /** Returns this placement in the stage of a new decision. */
    public Placement withDecision(PlacementStage newStage, long newDecision, long newTerm) {
        return new Placement(
                newDecision,
                newTerm,
                server,
                incarnation,
                model,
                version,
                adapter,
                memoryBytes,
                newStage);
    }
}
