package org.vanillaslip.internal.proofs.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a measure that can't tell the policies apart or that doesn't repeat. */
class PolicyRunTest {

    private static final Duration LENGTH = Duration.ofSeconds(70);

    @Test
    void ownedSharesKeepTheBoundAndRefuseLessThanAnEqualSplit() {
        PolicyRun owned = run(Policy.OWNED_SHARES);
        assertThat(owned.mostOver()).isLessThan(1);
        assertThat(wronglyRefused(owned)).isLessThan(wronglyRefused(run(Policy.EQUAL_SPLIT)));
        assertThat(run(Policy.NO_SHARING).mostOver()).isGreaterThan(1000);
    }

    @Test
    void sameSeedGivesTheSameRun() {
        PolicyRun one = run(Policy.OWNED_SHARES);
        PolicyRun other = run(Policy.OWNED_SHARES);
        assertThat(other.messagesPerSecond()).isEqualTo(one.messagesPerSecond());
        assertThat(other.longestWait(load -> true)).isEqualTo(one.longestWait(load -> true));
        assertThat(wronglyRefused(other)).isEqualTo(wronglyRefused(one));
    }

    private static int wronglyRefused(PolicyRun run) {
        return run.wronglyRefused(load -> !load.isOverRate());
    }

    private static PolicyRun run(Policy policy) {
        return new PolicyRun(Setting.hanbit(), policy, true, 5, LENGTH).run();
    }
}
