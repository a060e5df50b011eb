package org.vanillaslip.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards replicas-as-decided against outdated reports that a host still has when it takes a lease.
 */
class OrderOutcomeResolverTest {

    @ParameterizedTest
    @CsvSource({
        "LOADED, 9, s#1, true",
        "LOADED, 9, s#0, true",
        "LOAD_ORDERED, 9, s#0, true",
        "UNLOAD_ORDERED, 9, s#1, true",
        "LOADED, 10, s#1, false",
        "LOAD_ORDERED, 10, s#1, true",
        "LOAD_ORDERED, 10, s#2, false",
        "UNLOAD_ORDERED, 10, s#1, false"
    })
    void aReportDoesNotResolveADecisionThatWasNotKnownWhenItWasRequested(
            PlacementStage stage, long requestedNanos, String incarnation, boolean remains) {
        Placement placement = new Placement(7, 1, "s", "s#1", "m", "1", "", 60, stage);
        ServerReport report =
                new ServerReport(
                        "s", incarnation, 1, 0, List.of(), Map.of(), Set.of(), requestedNanos);
        assertThat(
                        new OrderOutcomeResolver(report, false, 1, d -> 10)
                                .resolve(placement)
                                .isPresent())
                .as(
                        "%s by a report of %s requested at %d, decision known at 10",
                        stage, incarnation, requestedNanos)
                .isEqualTo(remains);
    }
}
