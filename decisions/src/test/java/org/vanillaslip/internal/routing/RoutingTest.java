package org.vanillaslip.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.SlowStart;

/** Guards against calls to overloaded or drained servers and against retry storms. */
class RoutingTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    @Property(seed = "21")
    void neverChoosesAnExcludedOrFullServerNorTheMostLoadedOfThree(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 3) int load) {
        List<Candidate> candidates =
                List.of(
                        candidate("excluded", true, 0),
                        candidate("full", false, 8),
                        candidate("a", false, load),
                        candidate("b", false, load),
                        candidate("busy", false, 7));
        Choice choice =
                ReplicaSelector.choose(candidates, OptionalLong.empty(), new Random(seed))
                        .orElseThrow();
        assertThat(choice.candidate().server().name()).isIn("a", "b");
    }

    @Test
    void prefersTheServerWithTheCachedPrefixUntilItIsMoreLoaded() {
        List<Candidate> idle = List.of(candidate("a", false, 0), candidate("b", false, 0));
        String preferred = chosen(idle, 5);
        assertThat(chosen(idle, 5)).isEqualTo(preferred);
        List<Candidate> loaded =
                List.of(
                        candidate("a", false, preferred.equals("a") ? 4 : 0),
                        candidate("b", false, preferred.equals("b") ? 4 : 0));
        assertThat(chosen(loaded, 5)).isNotEqualTo(preferred);
    }

    @Test
    void limitsRetriesToTenPercentOfRecentRequests() {
        RetryBudget budget = new RetryBudget();
        for (int request = 0; request < 100; request++) {
            budget.recordRequest(request * SECOND.toNanos() / 50);
        }
        int allowed = 0;
        for (int retry = 0; retry < 100; retry++) {
            allowed += budget.tryAcquire(2 * SECOND.toNanos()) ? 1 : 0;
        }
        assertThat(allowed).isEqualTo(10);
        assertThat(budget.tryAcquire(20 * SECOND.toNanos())).isTrue();
        assertThat(budget.tryAcquire(20 * SECOND.toNanos())).isFalse();
    }

    private static String chosen(List<Candidate> candidates, long prefix) {
        return ReplicaSelector.choose(candidates, OptionalLong.of(prefix), new Random(1))
                .orElseThrow()
                .candidate()
                .server()
                .name();
    }

    private static Candidate candidate(String name, boolean excluded, int inFlight) {
        BackendServer server =
                new BackendServer(
                        name,
                        new FailureDomain("east"),
                        "127.0.0.1:1",
                        BackendKind.MODEL_ENGINE,
                        "pool",
                        "shard",
                        1,
                        1,
                        true,
                        false,
                        new SlowStart(1, 8, SECOND));
        return new Candidate(server, "first", excluded, inFlight, 0, Optional.of(SECOND));
    }
}
