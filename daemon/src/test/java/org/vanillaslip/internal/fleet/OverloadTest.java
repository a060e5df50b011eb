package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillaslip.internal.fleet.OverloadSimulation.Order;

/** Guards against an order that serves callers worse than the orders it replaces. */
class OverloadTest {

    private static final long SEED = 1;

    /** On an ordinary day a call that finds room is sent at once, whatever its rank. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.8})
    void belowTheCapacityNoCallIsServedLaterThanWithoutRanks(double load) {
        List<OverloadCall> ranked = OverloadMeasure.run(Order.RANKED, load, SEED).mCalls;
        List<OverloadCall> byTarget = OverloadMeasure.run(Order.BY_TARGET, load, SEED).mCalls;

        assertThat(ranked).allMatch(OverloadCall::served);
        assertThat(ranked.stream().filter(OverloadCall::late).count())
                .isLessThanOrEqualTo(byTarget.stream().filter(OverloadCall::late).count());
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3})
    void underOverloadCallersGetMoreValueThanWithoutRanks(double load) {
        double ranked = value(OverloadMeasure.run(Order.RANKED, load, SEED).mCalls);

        assertThat(ranked)
                .isGreaterThan(
                        1.1 * value(OverloadMeasure.run(Order.FIRST_COME, load, SEED).mCalls))
                .isGreaterThan(
                        1.1 * value(OverloadMeasure.run(Order.BY_TARGET, load, SEED).mCalls));
    }

    /** Without shares a workspace at six times its usual rate delays all others. */
    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3})
    void aWorkspaceThatExceedsItsShareDelaysItself(double load) {
        List<OverloadCall> calls = OverloadMeasure.run(Order.RANKED, load, SEED).mCalls;

        assertThat(valueRatio(calls, call -> !call.mWorkspace.equals("w5")))
                .isGreaterThan(1.2 * valueRatio(calls, call -> call.mWorkspace.equals("w5")))
                .isGreaterThan(0.7);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3})
    void noKindAndNoWorkspaceIsServedLessThanAQuarterAsOftenAsAll(double load) {
        List<OverloadCall> calls = OverloadMeasure.run(Order.RANKED, load, SEED).mCalls;
        double all = servedRatio(calls, call -> true);

        for (OverloadKind kind : OverloadMeasure.KINDS) {
            assertThat(servedRatio(calls, call -> call.mKind == kind)).isGreaterThan(all / 4);
        }
        for (int number = 1; number <= 5; number++) {
            String workspace = "w" + number;
            assertThat(servedRatio(calls, call -> call.mWorkspace.equals(workspace)))
                    .isGreaterThan(all / 4);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3})
    void largeCallsAreServedHalfAsOftenAsTheirKind(double load) {
        List<OverloadCall> calls = OverloadMeasure.run(Order.RANKED, load, SEED).mCalls;

        for (OverloadKind kind : OverloadMeasure.KINDS) {
            List<Integer> sizes =
                    calls.stream()
                            .filter(call -> call.mKind == kind)
                            .map(call -> call.mEvents)
                            .sorted()
                            .toList();
            int large = sizes.get((int) (sizes.size() * 0.7));
            int largest = sizes.get((int) (sizes.size() * 0.9));
            double ofKind = servedRatio(calls, call -> call.mKind == kind);
            assertThat(servedRatio(calls, call -> call.mKind == kind && call.mEvents >= largest))
                    .isGreaterThan(ofKind / 2);
            assertThat(
                            servedRatio(
                                    calls,
                                    call ->
                                            call.mKind == kind
                                                    && call.mEvents >= large
                                                    && call.mEvents < largest))
                    .isGreaterThan(ofKind / 2);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3})
    void everyModelIsServed(double load) {
        List<OverloadCall> calls = OverloadMeasure.run(Order.RANKED, load, SEED).mCalls;
        double all = servedRatio(calls, call -> true);

        for (int number = 0; number < OverloadMeasure.MODELS; number++) {
            String model = "m" + number;
            assertThat(servedRatio(calls, call -> call.mModel.equals(model)))
                    .isGreaterThan(all / 4);
        }
    }

    private static double value(List<OverloadCall> calls) {
        return calls.stream().mapToDouble(OverloadCall::value).sum();
    }

    private static double valueRatio(List<OverloadCall> calls, Predicate<OverloadCall> group) {
        List<OverloadCall> ofGroup = calls.stream().filter(group).toList();
        return value(ofGroup) / ofGroup.stream().mapToDouble(call -> call.mKind.mValue).sum();
    }

    private static double servedRatio(List<OverloadCall> calls, Predicate<OverloadCall> group) {
        List<OverloadCall> ofGroup = calls.stream().filter(group).toList();
        return ofGroup.stream().filter(OverloadCall::served).count() / (double) ofGroup.size();
    }
}
