package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.vanillaslip.FailureDomain;

/** Guards against calls to servers that can't or should not take them. */
class ServerSelectionTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final ServerHealth mHealth = new ServerHealth();

    @Test
    void choosesTheServerWithMoreCapacity() {
        assertThat(best(server("a", 20, true, false), server("b", 2, true, false))).isEqualTo("b");
    }

    @Test
    void choosesAServerInTheSameDomainUnlessItIsClearlyBusier() {
        assertThat(
                        best(
                                server("same-domain", 3, true, false),
                                server("other-domain", 0, false, false)))
                .isEqualTo("same-domain");
        assertThat(
                        best(
                                server("same-domain", 20, true, false),
                                server("other-domain", 0, false, false)))
                .isEqualTo("other-domain");
    }

    @Test
    void choosesAServerThatCachesThePromptUnlessItIsClearlyBusier() {
        assertThat(best(server("cached", 2, true, true), server("other", 0, true, false)))
                .isEqualTo("cached");
        assertThat(best(server("cached", 20, true, true), server("other", 0, true, false)))
                .isEqualTo("other");
    }

    /** Guards against new calls to a silent server, and against a pause after its silence. */
    @Test
    void aServerCountsAsSilentUntilItIsHeard() {
        mHealth.recordSilence(0);
        assertThat(mHealth.silent(100 * MILLI)).isTrue();
        assertThat(mHealth.usable(100 * MILLI)).isTrue();
        assertThat(mHealth.failing()).isFalse();

        mHealth.recordSuccess(101 * MILLI);
        assertThat(mHealth.silent(101 * MILLI)).isFalse();
        assertThat(mHealth.succeededSince(101 * MILLI)).isTrue();
        assertThat(mHealth.succeededSince(102 * MILLI)).isFalse();
    }

    /** Guards against a server that gets no calls after its silent streams have ended. */
    @Test
    void aSilenceThatIsNotRecordedAgainLapses() {
        mHealth.recordSilence(0);

        assertThat(mHealth.silent(1000 * MILLI)).isFalse();
    }

    @Test
    void anUnreachableServerIsPausedAndThenProbedWithOneCall() {
        mHealth.recordUnreachable(0);

        assertThat(mHealth.usable(100 * MILLI)).isFalse();
        assertThat(mHealth.usable(500 * MILLI)).isTrue();
        mHealth.recordSent(500 * MILLI);
        assertThat(mHealth.usable(501 * MILLI)).isFalse();
        mHealth.recordSuccess(0);
        assertThat(mHealth.usable(502 * MILLI)).isTrue();
    }

    /** Guards against a server that is never used again, as no result of its probe ever comes. */
    @Test
    void aProbeWithoutAResultHoldsBackOthersForALimitedTimeOnly() {
        mHealth.recordUnreachable(0);
        mHealth.recordSent(500 * MILLI);

        assertThat(mHealth.usable(3400 * MILLI)).isFalse();
        assertThat(mHealth.usable(3500 * MILLI)).isTrue();
        mHealth.recordSent(3500 * MILLI);
        assertThat(mHealth.usable(3501 * MILLI)).isFalse();
    }

    @Test
    void aProbeThatEndsWithoutAResultIsFollowedByAnother() {
        mHealth.recordUnreachable(0);
        long probe = mHealth.recordSent(500 * MILLI);
        mHealth.recordEnd(probe);

        assertThat(mHealth.usable(501 * MILLI)).isTrue();
        mHealth.recordSent(501 * MILLI);
        assertThat(mHealth.usable(502 * MILLI)).isFalse();
    }

    /** Guards against one probe for each call that a hanging server still had. */
    @Test
    void theEndOfAnotherCallDoesNotEndTheProbe() {
        long earlierCall = mHealth.recordSent(0);
        mHealth.recordUnreachable(0);
        mHealth.recordSent(500 * MILLI);
        mHealth.recordEnd(earlierCall);

        assertThat(mHealth.usable(501 * MILLI)).isFalse();
    }

    @Test
    void aServerThatFailsItsProbeIsPausedForLonger() {
        mHealth.recordUnreachable(0);
        mHealth.recordSent(450 * MILLI);
        mHealth.recordFailure(500 * MILLI);

        assertThat(mHealth.usable(1000 * MILLI)).isFalse();
        assertThat(mHealth.usable(1400 * MILLI)).isTrue();
    }

    @Test
    void oneFailureAmongSuccessesDoesNotPauseAServer() {
        mHealth.recordSuccess(0);
        mHealth.recordFailure(0);
        mHealth.recordSuccess(0);

        assertThat(mHealth.usable(1)).isTrue();
    }

    /** 18 calls per second over six hosts are three for each host. */
    @Test
    void limitsCallsToAColdServerToTheShareOfThisHost() {
        ColdServerRateLimiter limiter = new ColdServerRateLimiter();
        int permitted = 0;
        for (long now = 0; now < 1000 * MILLI; now += MILLI) {
            if (limiter.allows(now)) {
                limiter.recordCall(18, 6, now);
                permitted++;
            }
        }

        assertThat(permitted).isLessThanOrEqualTo(4);
    }

    @Test
    void limitsRetriesToTheMaximumOfTheWindow() {
        RetryBudget budget = new RetryBudget(requests -> requests / 5 + 2, Duration.ofSeconds(10));
        for (int request = 0; request < 50; request++) {
            budget.recordRequest(0);
        }
        int retries = 0;
        while (budget.tryAcquire(MILLI)) {
            retries++;
        }

        assertThat(retries).isEqualTo(12);
        assertThat(budget.tryAcquire(Duration.ofSeconds(11).toNanos())).isTrue();
    }

    /** Guards against a call that tries the servers of a failed domain one after the other. */
    @Test
    void ranksServersLastWhenTwoOthersInTheirDomainAreUnreachable() {
        FailureDomain failedDomain = new FailureDomain("lost");
        FailureDomain healthyDomain = new FailureDomain("healthy");
        ServerHealth first = new ServerHealth();
        ServerHealth second = new ServerHealth();
        ServerHealth untried = new ServerHealth();
        ServerHealth reachable = new ServerHealth();
        first.recordUnreachable(MILLI);
        second.recordUnreachable(MILLI);
        reachable.recordSuccess(MILLI);
        SuspectedDomains suspectedDomains = new SuspectedDomains();
        suspectedDomains.addServer(failedDomain, first, MILLI);
        assertThat(suspectedDomains.isSuspected(failedDomain, untried, MILLI)).isFalse();
        suspectedDomains.addServer(failedDomain, second, MILLI);

        assertThat(suspectedDomains.isSuspected(failedDomain, untried, MILLI)).isTrue();
        assertThat(suspectedDomains.isSuspected(failedDomain, reachable, MILLI)).isFalse();
        assertThat(suspectedDomains.isSuspected(healthyDomain, untried, MILLI)).isFalse();
        assertThat(
                        best(
                                new RankedServer("same-domain", 0, 48, true, false, true),
                                new RankedServer("other-domain", 10, 48, false, false, false)))
                .isEqualTo("other-domain");
    }

    private static String best(RankedServer... servers) {
        return ServerRanking.best(List.of(servers), 1, new Random(1)).orElseThrow().instance();
    }

    private static RankedServer server(String name, int inUse, boolean near, boolean preferred) {
        return new RankedServer(name, inUse, 48, near, preferred, false);
    }
}
