package org.vanillaslip.internal.placement;

import java.util.Optional;
import java.util.function.LongUnaryOperator;

/**
 * Determines the outcome of a recorded order from a report. Without proof of an outcome the
 * placement stays as recorded, because the order may still arrive.
 */
final class OrderOutcomeResolver {

    private final ServerReport mReport;
    private final boolean mChecksFencing;
    private final long mHolderTerm;
    private final LongUnaryOperator mKnownSinceNanos;

    /** Creates a resolver; {@code knownSince} returns when this host first saw a decision. */
    OrderOutcomeResolver(
            ServerReport report,
            boolean checksFencing,
            long holderTerm,
            LongUnaryOperator knownSinceNanos) {
        mReport = report;
        mChecksFencing = checksFencing;
        mHolderTerm = holderTerm;
        mKnownSinceNanos = knownSinceNanos;
    }

    /** Returns the placement after the report, or nothing if the server no longer has it. */
    Optional<Placement> resolve(Placement placement) {
        // A report that was requested before this host knew of the decision proves nothing about
        // it.
        if (mReport.requestedNanos() < mKnownSinceNanos.applyAsLong(placement.decision())) {
            return Optional.of(placement);
        }
        if (!mReport.incarnation().equals(placement.incarnation())) {
            return Optional.empty();
        }
        Optional<ReportedModel> reported =
                mReport.models().stream().filter(placement::matches).findFirst();
        switch (placement.stage()) {
            case LOAD_ORDERED:
                return resolveLoad(placement, reported);
            case UNLOAD_ORDERED:
                return resolveUnload(placement, reported);
            default:
                return reported.isPresent() ? Optional.of(placement) : Optional.empty();
        }
    }

    private Optional<Placement> resolveLoad(Placement placement, Optional<ReportedModel> reported) {
        // The same model loaded by another decision, such as an offline load, proves nothing about
        // this order: it may still arrive after that model has been unloaded.
        if (reported.isPresent() && reported.get().decision() == placement.decision()) {
            boolean loaded = reported.get().loaded();
            return Optional.of(loaded ? placement.withStage(PlacementStage.LOADED) : placement);
        }
        if (mReport.refusedDecisions().contains(placement.decision()) || isFenced(placement)) {
            return Optional.empty();
        }
        return Optional.of(placement);
    }

    private Optional<Placement> resolveUnload(
            Placement placement, Optional<ReportedModel> reported) {
        if (reported.isEmpty()) {
            return Optional.empty();
        }
        if (mReport.refusedDecisions().contains(placement.decision()) || isFenced(placement)) {
            return Optional.of(placement.withStage(PlacementStage.LOADED));
        }
        return Optional.of(placement);
    }

    /** Returns whether the server knows the term of this holder and so refuses the older order. */
    private boolean isFenced(Placement placement) {
        return mChecksFencing
                && placement.term() < mHolderTerm
                && mReport.highestTerm() >= mHolderTerm;
    }
}
