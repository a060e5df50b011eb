package org.vanillaslip.internal.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.vanillaslip.internal.platform.PlatformFailure.NOT_FOUND;
import static org.vanillaslip.internal.platform.PlatformFailure.THROTTLED;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.platform.BudgetedObjectStore;
import org.vanillaslip.internal.platform.CallBudget;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.PlatformException;
import reactor.test.StepVerifier;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against calls that reach the platform although they exceed the budget. */
class BudgetedObjectStoreTest {

    private static final String SHARDS = PlatformCollections.CONTROL_SHARDS;

    private final CallCounts mCounts = new CallCounts();
    private final VirtualTimeScheduler mScheduler = VirtualTimeScheduler.create();
    private final ObjectStore mStore =
            new BudgetedObjectStore(
                    new InProcessObjectStore(
                            new ObjectStorage(10),
                            new PlatformFaults(),
                            mCounts,
                            mScheduler,
                            "north"),
                    new CallBudget(() -> mScheduler.now(TimeUnit.NANOSECONDS), 1, 5, 3));

    @Test
    void ordinaryCallsDoNotUseTheReserveOfShardCallsAndWatches() {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        assertThat(mStore.read("c", "a").block().getLeft()).isEqualTo(NOT_FOUND);
        assertThat(mStore.list("c").block().isRight()).isTrue();
        assertThat(mStore.list("c").block().getLeft()).isEqualTo(THROTTLED);
        assertThat(mStore.create("c", "a", spec).block().getLeft()).isEqualTo(THROTTLED);

        assertThat(mStore.create(SHARDS, "s", spec).block().isRight()).isTrue();
        assertThat(mStore.read(SHARDS, "s").block().isRight()).isTrue();
        mStore.watch("c", 0).subscribe().dispose();
        StepVerifier.create(mStore.watch("c", 0))
                .expectErrorMatches(cause -> ((PlatformException) cause).failure() == THROTTLED)
                .verify(Duration.ofSeconds(1));

        assertThat(mCounts.of(CallKind.LIST)).isEqualTo(1);
        assertThat(mCounts.of(CallKind.CREATE)).isEqualTo(1);
        assertThat(mCounts.of(CallKind.WATCH)).isEqualTo(1);
    }

    @Test
    void eachSubscriptionOfACallIsChargedToTheBudget() {
        var call = mStore.list("c");
        assertThat(call.block().isRight()).isTrue();
        assertThat(call.block().isRight()).isTrue();
        assertThat(call.block().getLeft()).isEqualTo(THROTTLED);
        mScheduler.advanceTimeBy(Duration.ofSeconds(1));
        assertThat(call.block().isRight()).isTrue();
    }
}
