package org.vanillaslip.internal.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.vanillaslip.internal.serving.EngineProfile;
import org.vanillaslip.internal.serving.ModelProfile;

/**
 * Order in which demands are planned. A load from the weight store occupies an engine for as long
 * as several loads from copies, and its callers miss their objective in most cases, so it comes
 * last. Among such loads, the model with the most callers since it was last loaded is first. So a
 * model gains rank with each refused caller, and none is passed over for ever.
 */
final class DemandOrder {

    private static final Comparator<LoadDemand> BY_URGENCY =
            Comparator.comparing((LoadDemand demand) -> demand.objectiveLeft().isNegative())
                    .thenComparing(LoadDemand::priority)
                    .thenComparing(LoadDemand::objectiveLeft)
                    .thenComparing(demand -> demand.model().toString());

    private final EngineProfile mProfile;
    private final DemandHistory mHistory;
    private final List<EngineState> mEngines;

    DemandOrder(EngineProfile profile, DemandHistory history, List<EngineState> engines) {
        mProfile = profile;
        mHistory = history;
        mEngines = engines;
    }

    /** Returns the demands in the order in which they are planned. */
    List<LoadDemand> sorted(Collection<LoadDemand> demands) {
        Comparator<LoadDemand> byMissedCalls =
                Comparator.comparingInt(
                        demand -> -mHistory.callsSinceLoaded(demand.model().model()));
        List<LoadDemand> copied =
                demands.stream().filter(demand -> !needsStore(demand)).sorted(BY_URGENCY).toList();
        List<LoadDemand> uncopied =
                demands.stream()
                        .filter(this::needsStore)
                        .sorted(byMissedCalls.thenComparing(BY_URGENCY))
                        .toList();
        return Stream.concat(copied.stream(), uncopied.stream()).toList();
    }

    private boolean needsStore(LoadDemand demand) {
        ModelProfile model = mProfile.models().get(demand.model().model());
        return model != null && !WeightCopies.anyCopy(mEngines, model);
    }
}
