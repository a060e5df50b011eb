package org.vanillaslip.internal.placement;

import java.util.Optional;
import org.vanillaslip.BackendServer;
import org.vanillaslip.Model;

/** Updates a record according to the servers' reports. */
final class ReportReconciler {

    private ReportReconciler() {}

    static void apply(ShardRecordDraft draft, ShardState state) {
        for (Placement placement : draft.placements()) {
            Optional<BackendServer> server = draft.context().server(placement.server());
            if (server.isEmpty()) {
                draft.replace(placement, Optional.empty());
                draft.addEvent(ShardEventKind.GONE, placement, "server removed from configuration");
            } else {
                state.reports()
                        .get(placement.server())
                        .forEach(report -> resolve(draft, state, placement, report, server.get()));
            }
        }
        state.reports().values().forEach(report -> addUnrecorded(draft, state, report));
    }

    private static void resolve(
            ShardRecordDraft draft,
            ShardState state,
            Placement placement,
            ServerReport report,
            BackendServer server) {
        Optional<Placement> next =
                new OrderOutcomeResolver(
                                report,
                                server.checksFencing(),
                                state.lease().term(),
                                state.orderLog()::knownSinceNanos)
                        .resolve(placement);
        if (!next.equals(Optional.of(placement))) {
            draft.replace(placement, next);
            draft.addEvent(eventKind(placement, next), placement, "reported by server");
        }
    }

    private static ShardEventKind eventKind(Placement placement, Optional<Placement> next) {
        if (placement.stage() == PlacementStage.LOAD_ORDERED) {
            return next.isPresent() ? ShardEventKind.LOADED : ShardEventKind.LOAD_NOT_EXECUTED;
        }
        return next.isPresent() ? ShardEventKind.UNLOAD_NOT_EXECUTED : ShardEventKind.GONE;
    }

    // Models that were loaded from the offline placement set during a partition are added to the
    // record before any other decision is made.
    private static void addUnrecorded(
            ShardRecordDraft draft, ShardState state, ServerReport report) {
        // A report from before the last write may list a model whose removal is already recorded.
        if (report.requestedNanos() < state.lease().versionSeenSinceNanos()
                || draft.context().server(report.server()).isEmpty()) {
            return;
        }
        for (ReportedModel reported : report.models()) {
            boolean recorded =
                    draft.findPlacement(
                                    p -> p.server().equals(report.server()) && p.matches(reported))
                            .isPresent();
            if (!recorded) {
                draft.context()
                        .model(reported.model())
                        .ifPresent(model -> addUnrecorded(draft, report, reported, model));
            }
        }
    }

    private static void addUnrecorded(
            ShardRecordDraft draft, ServerReport report, ReportedModel reported, Model model) {
        boolean base = reported.adapter().isEmpty();
        Placement placement =
                new Placement(
                        reported.decision(),
                        draft.record().lease().term(),
                        report.server(),
                        report.incarnation(),
                        reported.model(),
                        reported.version(),
                        reported.adapter(),
                        base ? model.memoryBytes() : model.adapterMemoryBytes(),
                        reported.loaded() ? PlacementStage.LOADED : PlacementStage.LOAD_ORDERED);
        draft.addPlacement(placement);
        draft.addEvent(ShardEventKind.ADOPTED, placement, "reported but not recorded");
    }
}
