package org.vanillaslip.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillaslip.Configuration;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.Plan;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.WorkspaceEntry;

/** Guards against accepted configuration that reverts when items arrive late or out of order. */
class ConfigurationStateTest {

    @Test
    void ignoresAnOlderVersionOfAnItem() {
        ConfigurationState state =
                ConfigurationState.empty().merge(List.of(versioned(5, plan("p", 50))));

        ConfigurationState after = state.merge(List.of(versioned(4, plan("p", 40))));

        assertThat(after.current().orElseThrow().plans().get("p").tokensPerSecond()).isEqualTo(50);
    }

    @Test
    void doesNotRestoreARemovedItemFromAnOlderVersion() {
        ItemName name = new ItemName(ItemKind.PLAN, "p");
        ConfigurationState state =
                ConfigurationState.empty()
                        .merge(List.of(new VersionedItem(name, 5, Optional.empty())))
                        .merge(List.of(versioned(4, plan("p", 40))));

        assertThat(state.current().orElseThrow().plans()).isEmpty();
    }

    @Test
    void keepsTheLastValidSnapshotWhileNewItemsAreFaulty() {
        ConfigurationState valid =
                ConfigurationState.empty().merge(List.of(versioned(1, plan("p", 10))));

        ConfigurationState faulty = valid.merge(List.of(versioned(2, plan("p", -1))));
        ConfigurationState corrected = faulty.merge(List.of(versioned(3, plan("p", 30))));

        assertThat(faulty.current()).isEqualTo(valid.current());
        assertThat(faulty.faults())
                .containsExactly(new Fault("plan.p", "tokensPerSecond", "-1", "0 or more"));
        assertThat(corrected.faults()).isEmpty();
        assertThat(corrected.current().orElseThrow().version()).isEqualTo(3);
    }

    @Test
    void appliesRevokedKeysAndDrainsDespiteFaultsInOtherItems() {
        String kept = "a".repeat(64);
        String revoked = "b".repeat(64);
        ConfigurationState valid =
                ConfigurationState.empty()
                        .merge(
                                List.of(
                                        versioned(1, plan("p", 10)),
                                        versioned(2, new FailureDomainEntry("north", false)),
                                        versioned(
                                                3,
                                                new WorkspaceEntry(
                                                        "w", "p", Set.of(kept, revoked)))));

        ConfigurationState faulty =
                valid.merge(
                        List.of(
                                versioned(4, plan("p", -1)),
                                versioned(5, new FailureDomainEntry("north", true)),
                                versioned(
                                        6,
                                        new WorkspaceEntry(
                                                "w", "missing", Set.of(kept, "c".repeat(64))))));

        Configuration inForce = faulty.current().orElseThrow();
        assertThat(inForce.workspacesByKeyDigest()).containsOnlyKeys(kept);
        assertThat(inForce.workspaces().get("w").keyDigests()).containsExactly(kept);
        assertThat(inForce.isDrained(new FailureDomain("north"))).isTrue();
        assertThat(inForce.plans().get("p").tokensPerSecond()).isEqualTo(10);
    }

    @Test
    void keepsTheSnapshotUntilAVersionNewerThanTheUnreadableOneArrives() {
        ConfigurationState valid =
                ConfigurationState.empty().merge(List.of(versioned(1, plan("p", 10))));
        Fault fault = new Fault("plan.p", "kind", "x", "plan");

        ConfigurationState faulty =
                valid.merge(List.of(), List.of(new UnreadableItem("plan.p", 3, List.of(fault))));

        assertThat(faulty.faults()).containsExactly(fault);
        assertThat(faulty.merge(List.of(versioned(2, plan("p", 20)))).current())
                .isEqualTo(valid.current());
        assertThat(faulty.merge(List.of(versioned(4, plan("p", 40)))).faults()).isEmpty();
        assertThat(faulty.remove("plan.p", 4).current().orElseThrow().plans()).isEmpty();
    }

    @Test
    void treatsAnObjectMissingFromANewerListAsRemoved() {
        ConfigurationState state =
                ConfigurationState.empty()
                        .merge(List.of(versioned(1, plan("p", 1)), versioned(9, plan("q", 1))));

        ConfigurationState after = state.removeUnlisted(Set.of(), 8);

        assertThat(after.current().orElseThrow().plans()).containsOnlyKeys("q");
    }

    @Test
    void reportsAKeyThatTwoWorkspacesShare() {
        String digest = "a".repeat(64);
        ConfigurationState state =
                ConfigurationState.empty()
                        .merge(
                                List.of(
                                        versioned(1, plan("p", 1)),
                                        versioned(2, new WorkspaceEntry("a", "p", Set.of(digest))),
                                        versioned(
                                                3, new WorkspaceEntry("b", "p", Set.of(digest)))));

        assertThat(state.current().orElseThrow().workspaces()).containsOnlyKeys("a");
        assertThat(state.faults()).singleElement().extracting(Fault::item).isEqualTo("workspace.b");
    }

    /**
     * Two operators can make changes that are valid separately but not together. A host that
     * restarts then has no earlier snapshot to fall back to.
     */
    @Test
    void leavesOutOnlyFaultyItemsWhenNoSnapshotWasInForce() {
        ConfigurationState state =
                ConfigurationState.empty()
                        .merge(
                                List.of(
                                        versioned(1, plan("p", 10)),
                                        removed(2, ItemKind.PLAN, "gone"),
                                        versioned(3, new WorkspaceEntry("w", "p", Set.of())),
                                        versioned(4, new WorkspaceEntry("late", "gone", Set.of())),
                                        versioned(5, planWithModel("q", "lost")),
                                        versioned(6, new WorkspaceEntry("on-q", "q", Set.of()))));

        Configuration inForce = state.current().orElseThrow();
        assertThat(inForce.plans()).containsOnlyKeys("p");
        assertThat(inForce.workspaces()).containsOnlyKeys("w");
        assertThat(state.faults())
                .extracting(Fault::item)
                .containsExactlyInAnyOrder("workspace.late", "plan.q", "workspace.on-q");
        ConfigurationState corrected = state.merge(List.of(versioned(7, plan("gone", 1))));
        assertThat(corrected.current().orElseThrow().workspaces()).containsOnlyKeys("w", "late");
    }

    @Test
    void keepsThePreviousVersionOfAFaultyItemAndAppliesTheOtherItems() {
        ConfigurationState valid =
                ConfigurationState.empty()
                        .merge(
                                List.of(
                                        versioned(1, plan("p", 10)),
                                        versioned(2, plan("q", 10)),
                                        versioned(3, new WorkspaceEntry("w", "p", Set.of()))));

        ConfigurationState after =
                valid.merge(
                        List.of(
                                removed(4, ItemKind.PLAN, "q"),
                                versioned(5, new WorkspaceEntry("w", "q", Set.of())),
                                versioned(6, plan("p", 60))));

        Configuration inForce = after.current().orElseThrow();
        assertThat(inForce.workspaces().get("w").plan()).isEqualTo("p");
        assertThat(inForce.plans()).containsOnlyKeys("p");
        assertThat(inForce.plans().get("p").tokensPerSecond()).isEqualTo(60);
    }

    @Test
    void keepsTheSnapshotWhenARemovalWouldInvalidateAnItemInForce() {
        ConfigurationState valid =
                ConfigurationState.empty()
                        .merge(
                                List.of(
                                        versioned(1, plan("p", 10)),
                                        versioned(2, new WorkspaceEntry("w", "p", Set.of()))));

        ConfigurationState after = valid.merge(List.of(removed(3, ItemKind.PLAN, "p")));

        assertThat(after.current()).isEqualTo(valid.current());
        assertThat(after.faults()).extracting(Fault::item).containsExactly("workspace.w");
        assertThat(after.merge(List.of(versioned(4, plan("p", 40)))).faults()).isEmpty();
    }

    @Property(seed = "20261204", tries = 200)
    void snapshotDoesNotDependOnTheOrderOfArrival(@ForAll long seed) {
        List<VersionedItem> items = new ArrayList<>();
        for (int version = 1; version <= 20; version++) {
            items.add(versioned(version, plan("p" + version % 3, version)));
        }
        ConfigurationState inOrder = ConfigurationState.empty().merge(items);
        Collections.shuffle(items, new Random(seed));

        ConfigurationState shuffled = ConfigurationState.empty();
        for (VersionedItem item : items) {
            shuffled = shuffled.merge(List.of(item));
        }

        assertThat(shuffled.current()).isEqualTo(inOrder.current());
    }

    private static Plan plan(String name, long rate) {
        return new Plan(name, Set.of(), Set.of(), rate, 10);
    }

    private static Plan planWithModel(String name, String model) {
        return new Plan(name, Set.of(model), Set.of(), 10, 10);
    }

    private static VersionedItem removed(long version, ItemKind kind, String name) {
        return new VersionedItem(new ItemName(kind, name), version, Optional.empty());
    }

    private static VersionedItem versioned(long version, ConfigurationItem item) {
        return new VersionedItem(ItemName.of(item), version, Optional.of(item));
    }
}
