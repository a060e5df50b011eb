package org.vanillaslip.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ModelName;

/** Guards against a lease holder whose heap fills with names that callers have invented. */
class DemandHistoryLimitTest {

    private final DemandHistory mHistory = new DemandHistory();

    @Test
    void remembersALimitedNumberOfModels() {
        for (int name = 0; name < 3 * DemandHistory.MAX_MODELS; name++) {
            mHistory.recordCalls("invented-" + name, 1, false, 0);
        }

        assertThat(mHistory.models()).isEqualTo(DemandHistory.MAX_MODELS);
    }

    @Test
    void remembersNewModelsAfterOthersHaveBecomeIdle() {
        for (int name = 0; name < DemandHistory.MAX_MODELS; name++) {
            mHistory.recordCalls("invented-" + name, 1, true, 0);
        }
        long later = Duration.ofMinutes(10).toNanos();
        mHistory.recordCalls("sound", 1, true, later);

        assertThat(mHistory.urgentRate("sound", later)).isPositive();
    }

    @Test
    void remembersALimitedNumberOfAdapters() {
        for (int name = 0; name < DemandHistory.MAX_ADAPTERS + 1000; name++) {
            mHistory.recordAdapterRequest(new ModelName("m", Optional.of("a" + name)), 0);
        }

        assertThat(mHistory.adapters()).isEqualTo(DemandHistory.MAX_ADAPTERS);
    }
}
