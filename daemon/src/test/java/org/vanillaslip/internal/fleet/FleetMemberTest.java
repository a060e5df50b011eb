package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;

/** Guards against older state of a server that replaces newer state. */
class FleetMemberTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final FleetMember mMember = new FleetMember(registered(0, "m1"), false, 0);

    /** An order based on an order count that no report has shown may overcommit the server. */
    @Test
    void aRegistrationDoesNotReplaceTheStateOfARecentReport() {
        mMember.applyReport(report(3, "m2"), true, SECOND);

        mMember.updateRegistration(registered(40, "m1"), 2 * SECOND);

        assertThat(mMember.modelState().orderCount()).isEqualTo(3);
        assertThat(mMember.modelState().loaded()).containsOnlyKeys("m2");
    }

    @Test
    void aLaterReportIsAppliedAfterARegistration() {
        mMember.applyReport(report(3, "m2"), true, SECOND);
        mMember.updateRegistration(registered(40, "m1"), 2 * SECOND);

        mMember.applyReport(report(4, "m3"), false, 2 * SECOND);

        assertThat(mMember.modelState().loaded()).containsOnlyKeys("m3");
    }

    @Test
    void aRegistrationSetsTheStateWhenReportsAreOld() {
        mMember.applyReport(report(3, "m2"), true, SECOND);

        mMember.updateRegistration(registered(0, "m1"), 10 * SECOND);

        assertThat(mMember.modelState().orderCount()).isEqualTo(3);
        assertThat(mMember.modelState().loaded()).containsOnlyKeys("m1");
    }

    /** Otherwise the next order would overcommit the server, as the report lacks a loaded model. */
    @Test
    void aReportFromBeforeTheEndOfALoadDoesNotHideTheLoadedModel() {
        mMember.applyReport(new ServerLoadReport(executingOrder(3), 0, 0), true, SECOND);
        mMember.assumeOrderDone(modelState(3, "m2"), 2 * SECOND);

        mMember.applyReport(
                new ServerLoadReport(executingOrder(3), 0, 0), false, 2 * SECOND + SECOND / 5);
        assertThat(mMember.modelState().loaded()).containsOnlyKeys("m2");

        mMember.applyReport(
                new ServerLoadReport(executingOrder(3), 0, 0), true, 2 * SECOND + SECOND / 4);
        assertThat(mMember.modelState().loaded()).containsOnlyKeys("m2");
    }

    /** Guards against an order that is assumed to be completed while the server executes it. */
    @Test
    void aReportFromAfterTheAssumedEndIsApplied() {
        mMember.applyReport(new ServerLoadReport(executingOrder(3), 0, 0), true, SECOND);
        mMember.assumeOrderDone(modelState(3, "m2"), 2 * SECOND);

        mMember.applyReport(new ServerLoadReport(executingOrder(3), 0, 0), true, 3 * SECOND);

        assertThat(mMember.modelState().executingOrder()).isTrue();
        assertThat(mMember.modelState().loaded()).isEmpty();
    }

    private static ServerModelState executingOrder(long orders) {
        return new ServerModelState(orders, true, Map.of(), Set.of(), Set.of());
    }

    private static ServerLoadReport report(long orders, String model) {
        return new ServerLoadReport(modelState(orders, model), 0, 0);
    }

    private static ServerModelState modelState(long orders, String model) {
        return new ServerModelState(orders, false, Map.of(model, Set.of()), Set.of(), Set.of());
    }

    private static RegisteredServer registered(long orders, String model) {
        return new RegisteredServer(
                "s1",
                1,
                "pool",
                "10.0.0.1:1",
                new FailureDomain("d"),
                6,
                false,
                OptionalLong.empty(),
                0,
                modelState(orders, model));
    }
}
