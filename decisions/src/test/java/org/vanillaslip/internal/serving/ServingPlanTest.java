package org.vanillaslip.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.vanillaslip.Workspace;
import org.vanillaslip.internal.admission.KeyDigest;

/** Guards against calls that are assigned to the wrong route or workspace. */
class ServingPlanTest {

    private final WorkspacePolicy mPolicy =
            new WorkspacePolicy(new Workspace("w"), OptionalInt.empty(), 0, 0, true, 1);
    private final ServingPlan mPlan =
            new ServingPlan(
                    3,
                    List.of(
                            route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/y/z/")),
                    Map.of(),
                    List.of(mPolicy),
                    Map.of(KeyDigest.of("key"), mPolicy),
                    CallerLimits.DEFAULT);

    @Test
    void theLongestMatchingPrefixWins() {
        assertThat(mPlan.route("a.example", "/x/y/z")).map(ServedRoute::name).contains("long");
        assertThat(mPlan.route("a.example", "/x/z/y/")).map(ServedRoute::name).contains("short");
    }

    @Test
    void aPrefixMatchesOnlyWholePathSegments() {
        assertThat(mPlan.route("a.example", "/x/yy")).map(ServedRoute::name).contains("short");
        assertThat(mPlan.route("a.example", "/xx/y/")).isEmpty();
        assertThat(mPlan.route("a.example", "/x")).isEmpty();
    }

    @Test
    void routesOfOtherHostsDoNotMatch() {
        assertThat(mPlan.route("c.example", "/x/")).isEmpty();
        assertThat(mPlan.route("b.example", "/x/y/")).isEmpty();
    }

    @Test
    void aKeyMatchesOnlyItsOwnWorkspace() {
        assertThat(mPlan.policyForKey("key")).contains(mPolicy);
        assertThat(mPlan.policyForKey("kex")).isEmpty();
    }

    private static ServedRoute route(String name, String host, String prefix) {
        return new ServedRoute(
                name,
                host,
                prefix,
                CallKind.REPEATABLE,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofMillis(100),
                Duration.ofSeconds(1),
                0,
                List.of(new PoolShare("pool", 1)),
                2,
                false,
                false);
    }
}
