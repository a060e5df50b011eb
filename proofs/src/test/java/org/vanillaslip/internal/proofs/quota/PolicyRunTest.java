package org.vanillaslip.internal.proofs.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a simulation that does not distinguish the policies or is not repeatable. */
class PolicyRunTest {

    private static final Duration RUN_TIME = Duration.ofSeconds(70);

    @Test
    void ownedSharesKeepTheBoundAndRefuseLessThanAnEqualSplit() {
        PolicyRun owned = run(QuotaPolicy.OWNED_SHARES);
        assertThat(owned.maxTokensOverBound()).isLessThan(1);
        assertThat(wronglyRefused(owned)).isLessThan(wronglyRefused(run(QuotaPolicy.EQUAL_SPLIT)));
        assertThat(run(QuotaPolicy.NO_SHARING).maxTokensOverBound()).isGreaterThan(1000);
    }

    @Test
    void sameSeedGivesTheSameRun() {
        PolicyRun one = run(QuotaPolicy.OWNED_SHARES);
        PolicyRun other = run(QuotaPolicy.OWNED_SHARES);
        assertThat(other.messagesPerSecond()).isEqualTo(one.messagesPerSecond());
        assertThat(other.longestWaitMillis(load -> true))
                .isEqualTo(one.longestWaitMillis(load -> true));
        assertThat(wronglyRefused(other)).isEqualTo(wronglyRefused(one));
    }

    private static int wronglyRefused(PolicyRun run) {
        return run.wronglyRefused(load -> !load.isOverRate());
    }

    private static PolicyRun run(QuotaPolicy policy) {
        return new PolicyRun(DeploymentScenario.hanbit(), policy, true, 5, RUN_TIME).run();
    }
}
