package org.vanillaslip.internal.placement;

/**
 * A model or adapter on a backend server, as recorded. Its memory counts as taken in every stage.
 *
 * @param decision number of the decision that the current stage carries out
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

    /** Returns whether the report entry shows this model version and adapter. */
    public boolean matches(ReportedModel resident) {
        return isFor(resident.model(), resident.version(), resident.adapter());
    }

    /** Returns this placement in another stage. */
    public Placement withStage(PlacementStage newStage) {
        return withDecision(newStage, decision, term);
    }

    /** Returns this placement in the stage that a new decision leads to. */
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
